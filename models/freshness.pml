/* Freshness of the configuration, as in src/Freshness: one change (the
 * withdrawal of a key) is committed, acknowledged by a majority of three
 * vouchers and reported as accepted when the freshness limit has elapsed.
 *
 * Nodes 0 to 2 are vouchers, node 3 only reads. A node's basis is the time as
 * of which it knows the configuration; it is fresh for LIMIT ticks after that.
 * Vouchers 1 and 2 keep their first basis, as the reader covers the renewals
 * that they could make. As vouchers are alike, only voucher 0 restarts, at most
 * once: it loses its state and learns from vouchers or by relay, not from the
 * table. Time advances in ticks. A node may be paused at any point and for any
 * time: its steps are never forced. A response may be arbitrarily late, as the
 * time of its request becomes the basis.
 *
 * Property: once the change is accepted, no fresh node serves without it.
 *
 * The variants freshness-broken-*.pml define one of the BROKEN_ macros.
 */
#define VOUCHERS 3
#define NODES 4
#define READER 3
#define LIMIT 2
#ifndef LAST_TICK
#define LAST_TICK 5
#endif
/* NONE is the basis of a node that knows no configuration yet; ticks are
 * counted from FIRST. */
#define NONE 0
#define FIRST 1

byte now = FIRST;
bit committed = 0;
bit accepted = 0;
/* Whether node n has applied the change, and its basis. */
bit applied[NODES];
byte basis[NODES];
/* Time of a voucher's restart; NONE if it has not restarted. */
byte startedAt[VOUCHERS];
bit restarted = 0;
/* The writer: request time of voucher n's last acknowledgement. */
byte acknowledgedAt[VOUCHERS];
byte majorityAt = NONE;
/* The request to the vouchers in flight: its sender and time, the vouchers that
 * have responded, and whether one of them has the change. */
byte asker = NODES;
byte askedAt = NONE;
bit answered[VOUCHERS];
bit sawChange = 0;

#define FRESH(n) (basis[n] != NONE && now < basis[n] + LIMIT)
#if defined(BROKEN_RESTART)
/* A restarted voucher is eligible as soon as it is fresh. */
#define ELIGIBLE(n) (startedAt[n] == NONE || FRESH(n))
#else
#define ELIGIBLE(n) \
  (startedAt[n] == NONE || basis[n] >= startedAt[n] + LIMIT)
#endif
#if defined(BROKEN_STALE_ACKNOWLEDGEMENT)
/* An acknowledgement never expires. */
#define COUNTS(n) (acknowledgedAt[n] != NONE)
#else
#define COUNTS(n) (acknowledgedAt[n] != NONE && now < acknowledgedAt[n] + LIMIT)
#endif
#if defined(BROKEN_EARLY_REPORT)
/* The change is accepted as soon as a majority has acknowledged it. */
#define WAITED (true)
#else
#define WAITED (now >= majorityAt + LIMIT)
#endif
#define SAFE                                                           \
  (!accepted || ((applied[0] || !FRESH(0)) && (applied[1] || !FRESH(1)) && \
                 (applied[2] || !FRESH(2)) && (applied[3] || !FRESH(3))))

inline EndQuestion() {
  asker = NODES; askedAt = NONE; sawChange = 0;
  answered[0] = 0; answered[1] = 0; answered[2] = 0
}

inline PickVoucher() {
  if
  :: n = 0 :: n = 1 :: n = 2
  fi
}

active proctype World() {
  byte n, m;
  basis[0] = FIRST; basis[1] = FIRST; basis[2] = FIRST; basis[3] = FIRST;
  do
  :: atomic { now < LAST_TICK -> now++; assert(SAFE) }

  /* The change. */
  :: atomic { !committed -> committed = 1 }
  /* A voucher learns of the change; a restarted one cannot reach the table. */
  :: atomic { committed ->
       PickVoucher();
       if
       :: startedAt[n] == NONE -> applied[n] = 1
       :: else -> skip
       fi;
       n = 0 }
  /* The writer sends a request to a voucher and gets the response at once. A
   * late response would only shorten the time for which it counts. */
  :: atomic { committed && majorityAt == NONE ->
       PickVoucher();
       if
       :: applied[n] -> acknowledgedAt[n] = now
       :: else -> skip
       fi;
       if
       :: (COUNTS(0) && COUNTS(1)) || (COUNTS(0) && COUNTS(2)) ||
          (COUNTS(1) && COUNTS(2)) -> majorityAt = now
       :: else -> skip
       fi;
       n = 0 }
  :: atomic { majorityAt != NONE && WAITED && !accepted ->
       accepted = 1; assert(SAFE) }

  /* A node sends a request to the vouchers; their responses arrive one by one,
   * or never. */
  :: atomic { asker == NODES -> asker = 0; askedAt = now }
  :: atomic { asker == NODES -> asker = READER; askedAt = now }
  :: atomic { asker != NODES ->
       PickVoucher();
       if
       :: ELIGIBLE(n) -> answered[n] = 1
       :: else -> skip
       fi;
       sawChange = sawChange || applied[n];
       n = 0 }
  :: atomic { asker != NODES && answered[0] + answered[1] + answered[2] >= 2 ->
       if
       /* The response of a voucher that has the change includes it. */
       :: sawChange -> applied[asker] = 1
       :: else -> skip
       fi;
       if
       :: askedAt > basis[asker] -> basis[asker] = askedAt
       :: else -> skip
       fi;
       EndQuestion();
       assert(SAFE) }
  :: atomic { asker != NODES -> EndQuestion() }

  /* Relay from one node to another, with or without the peer's changes. A basis
   * is taken only by a node that has applied what the peer's basis covers. */
  :: atomic {
       if
       :: n = 0; m = READER
       :: n = READER; m = 0
       :: n = 0; m = 1
       :: n = READER; m = 1
       fi;
       if
       :: FRESH(m) && basis[m] > basis[n] && (applied[n] || !applied[m]) ->
          basis[n] = basis[m]
       :: FRESH(m) && basis[m] > basis[n] && applied[m] ->
          applied[n] = 1; basis[n] = basis[m]
       :: else -> skip
       fi;
       n = 0; m = 0;
       assert(SAFE) }

  /* A voucher restarts; its own request in flight is lost. */
  :: atomic { !restarted ->
       restarted = 1; startedAt[0] = now; applied[0] = 0; basis[0] = NONE;
       if
       :: asker == 0 -> EndQuestion()
       :: else -> skip
       fi }
  od
}
