/* Exchange of shares between one organisation's issuer and its holders, as in
 * src/Limits: numbered statements of the total held, transfers credited once
 * and only for the latest statement, shares that expire, new allocation
 * versions.
 *
 * Messages can be lost, duplicated, reordered and delayed without bound. Any
 * process can pause: a step may happen at any time or never. Holder 0 may
 * restart with a new incarnation. Time advances in ticks; a share is valid for
 * LEASE ticks. A unit stands for a part of both rate and burst.
 *
 * Property: what fresh holders can spend, plus what the issuer of the accepted
 * allocation keeps, is never more than was issued.
 *
 * The variants share-transfer-broken-*.pml define one of the BROKEN_ macros.
 */
#define UNITS 1
#define HOLDERS 2
#define INCARNATIONS 2
#define RECORDS 4
#define LEASE 1
#ifndef LAST_TICK
#define LAST_TICK 1
#endif
#ifndef STATEMENTS
#define STATEMENTS 2
#endif
#define PARTS 2

#define STATEMENT 0
#define TRANSFER 1

/* At most two messages in flight: kind, allocation, holder, incarnation and
 * statement number; then for a statement the units held and whether it requests
 * a transfer, for a transfer the part and the units. A message that is never
 * read is lost; the explicit loss step makes room for others. */
chan network = [2] of { bit, bit, bit, bit, byte, byte, byte };

byte now = 0;

/* A run has either a restart of holder 0 or a new allocation; both together
 * give too many states for an exhaustive search within a minute. */
bit mayRestart;

/* Holders. */
bit incarnation[HOLDERS];
bit version[HOLDERS];     /* allocation that the share belongs to */
bit fresh[HOLDERS] = 1;
byte held[HOLDERS];
byte number[HOLDERS];
byte nextPart[HOLDERS];
byte statedAt[HOLDERS];
byte leaseEnd[HOLDERS];

/* The issuers of allocations 0 and 1, records by holder and incarnation. */
typedef Issuer {
  byte reserve;
  byte heldBy[RECORDS];
  byte lastNumber[RECORDS];
  byte parts[RECORDS];
  byte recordEnd[RECORDS];
  bit known[RECORDS];
};
Issuer issuer[2];
bit committed = 0;
bit accepted = 0;

#define RECORD(h, i) ((h) * INCARNATIONS + (i))
#define USABLE(h) ((fresh[h] && now < leaseEnd[h]) -> held[h] : 0)
#define CONSERVED                                                         \
  (USABLE(0) + USABLE(1) + issuer[accepted].reserve <= UNITS)

inline Send(a, b, c, d, e, f, g) {
  if
  :: nfull(network) -> network!!a, b, c, d, e, f, g
  :: full(network) -> skip /* lost */
  fi
}

/* Reads one message, any in the channel, and removes it or leaves it to be read
 * again. The channel is kept sorted, as the order of its messages is
 * irrelevant. */
inline Take() {
  network?k, v, h, i, n, x, y;
  if
  :: true -> skip
  :: true -> network!!k, v, h, i, n, x, y
  :: nempty(network) ->
     network?k2, v2, h2, i2, n2, x2, y2;
     network!!k, v, h, i, n, x, y;
     k = k2; v = v2; h = h2; i = i2; n = n2; x = x2; y = y2;
     if
     :: true -> skip
     :: true -> network!!k, v, h, i, n, x, y
     fi;
     k2 = 0; v2 = 0; h2 = 0; i2 = 0; n2 = 0; x2 = 0; y2 = 0
  fi
}

inline DropLapsed(h) {
  if
  :: now >= leaseEnd[h] -> held[h] = 0
  :: else -> skip
  fi
}

inline State(h, answer) {
  DropLapsed(h);
  if
  :: held[h] > 0 -> held[h] = 0 /* returns the share */
  :: true -> skip
  fi;
  number[h]++;
  nextPart[h] = 0;
  statedAt[h] = now;
  Send(STATEMENT, version[h], h, incarnation[h], number[h], held[h], answer)
}

inline Credit(h, v, i, n, p, units) {
  if
#if defined(BROKEN_LATE_CREDIT)
  :: v == version[h] && i == incarnation[h] && p >= nextPart[h] &&
#elif defined(BROKEN_REPEATED_CREDIT)
  :: v == version[h] && i == incarnation[h] && n == number[h] &&
#else
  :: v == version[h] && i == incarnation[h] && n == number[h] &&
     p >= nextPart[h] &&
#endif
#if defined(BROKEN_LEASE_FROM_RECEIPT)
     (p == 0 || now < leaseEnd[h]) ->
#else
     ((p == 0 && now < statedAt[h] + LEASE) || (p > 0 && now < leaseEnd[h])) ->
#endif
     DropLapsed(h);
     held[h] = held[h] + units;
     nextPart[h] = p + 1;
     if
#if defined(BROKEN_LEASE_FROM_RECEIPT)
     :: p == 0 -> leaseEnd[h] = now + LEASE
#else
     :: p == 0 && statedAt[h] + LEASE > leaseEnd[h] ->
        leaseEnd[h] = statedAt[h] + LEASE
#endif
     :: else -> skip
     fi
  :: else -> skip
  fi
}

/* Deducts the units before it sends them. */
inline Grant(v, h, i, r) {
  issuer[v].reserve = issuer[v].reserve - units;
  issuer[v].heldBy[r] = issuer[v].heldBy[r] + units;
  Send(TRANSFER, v, h, i, issuer[v].lastNumber[r], issuer[v].parts[r],
       units);
  issuer[v].parts[r]++
}

inline Accept(v, h, i, n, stated, answer) {
  r = RECORD(h, i);
  if
  :: (v == 0 || accepted) && !issuer[v].known[r] && stated == 0 ->
     issuer[v].known[r] = 1;
     issuer[v].lastNumber[r] = 0;
     issuer[v].recordEnd[r] = now + LEASE
  :: else -> skip
  fi;
  if
  :: (v == 0 || accepted) && issuer[v].known[r] &&
     n > issuer[v].lastNumber[r] && stated <= issuer[v].heldBy[r] ->
     issuer[v].reserve = issuer[v].reserve + issuer[v].heldBy[r] - stated;
     issuer[v].heldBy[r] = stated;
     issuer[v].lastNumber[r] = n;
     issuer[v].parts[r] = 0;
     if
     :: answer ->
        issuer[v].recordEnd[r] = now + LEASE;
        if
        :: units = 0
        :: issuer[v].reserve > 0 -> units = 1
        fi;
        Grant(v, h, i, r)
     :: else -> issuer[v].parts[r] = 1
     fi
  :: else -> skip
  fi;
  r = 0
}

active proctype World() {
  byte r, n, x, y, units;
  byte n2, x2, y2;
  bit k, v, h, i, k2, v2, h2, i2;
  issuer[0].reserve = UNITS;
  if
  :: mayRestart = 0
  :: mayRestart = 1
  fi;
  do
  /* Time. */
  :: atomic { now < LAST_TICK -> now++ }

  /* Holders. */
  :: atomic { number[0] < STATEMENTS -> State(0, 1) }
  :: atomic { number[0] < STATEMENTS && held[0] > 0 -> State(0, 0) }
  :: atomic { number[1] < 1 -> State(1, 1) }
  :: atomic { mayRestart && incarnation[0] == 0 ->
       incarnation[0] = 1; held[0] = 0; number[0] = 0; nextPart[0] = 0;
       statedAt[0] = 0; leaseEnd[0] = 0; version[0] = accepted;
       fresh[0] = 1 }

  /* Issuers. */
  :: atomic { /* unsolicited transfer */
       if
       :: v = 0 :: v = accepted
       fi;
       if
       :: h = 0; i = 0 :: h = 0; i = 1 :: h = 1; i = 0
       fi;
       r = RECORD(h, i);
       if
       :: issuer[v].reserve > 0 && issuer[v].known[r] &&
          now < issuer[v].recordEnd[r] &&
          issuer[v].parts[r] > 0 && issuer[v].parts[r] < PARTS ->
          units = 1;
          Grant(v, h, i, r)
       :: else -> skip
       fi;
       v = 0; h = 0; i = 0; r = 0; units = 0 }
  :: atomic { /* expiry of a record */
       if
       :: v = 0 :: v = accepted
       fi;
       if
       :: r = 0 :: r = 1 :: r = 2
       fi;
       if
       :: issuer[v].known[r] && now >= issuer[v].recordEnd[r] ->
          issuer[v].reserve = issuer[v].reserve + issuer[v].heldBy[r];
          issuer[v].heldBy[r] = 0;
          issuer[v].known[r] = 0;
          issuer[v].lastNumber[r] = 0;
          issuer[v].parts[r] = 0;
          issuer[v].recordEnd[r] = 0;
          assert(CONSERVED)
       :: else -> skip
       fi;
       v = 0; r = 0 }

  /* A message arrives or is lost. */
  :: atomic { nempty(network) ->
       Take();
       if
       :: true -> skip
       :: k == STATEMENT -> Accept(v, h, i, n, x, y)
       :: k == TRANSFER -> Credit(h, v, i, n, x, y)
       fi;
       assert(CONSERVED);
       k = 0; v = 0; h = 0; i = 0; n = 0; x = 0; y = 0; units = 0 }

  /* A new allocation is committed; holders lose their freshness or switch to
   * it; it is accepted when no holder can spend an old share. */
  :: atomic { !mayRestart && !committed -> committed = 1 }
  :: atomic { committed && version[0] == 0 -> fresh[0] = 0 }
  :: atomic { committed && version[1] == 0 -> fresh[1] = 0 }
  :: atomic { committed && version[0] == 0 -> version[0] = 1; fresh[0] = 1;
       held[0] = 0; leaseEnd[0] = 0 }
  :: atomic { committed && version[1] == 0 -> version[1] = 1; fresh[1] = 1;
       held[1] = 0; leaseEnd[1] = 0 }
  :: atomic { committed && !accepted &&
#ifndef BROKEN_EARLY_ACCEPTANCE
       (version[0] == 1 || !fresh[0]) && (version[1] == 1 || !fresh[1]) &&
#endif
       true ->
       accepted = 1; issuer[1].reserve = UNITS;
       assert(CONSERVED) }
  od
}
