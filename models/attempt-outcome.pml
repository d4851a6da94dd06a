/* At-most-once execution of a non-idempotent request (docs/outcomes.md).
 *
 * A sender sends an attempt to a target's node. If the connection is lost, it
 * queries the outcome of the attempt over new connections, and after "not run"
 * it sends another attempt of the same request to another target. Messages can
 * be lost or delayed at any time, and a node may restart, which loses its
 * table.
 *
 * Properties: the request runs at most once over all attempts; an attempt that
 * was reported "not run" has not run and does not run later.
 *
 * Assumptions: an attempt is sent once; a request older than its deadline
 * (less than 50 s) is refused; a query is handled or lost within the 10 s
 * between the query window and the end of the retention, which AttemptTable
 * ensures by counting the retention in active time.
 *
 * The broken variants define one of NO_TOMBSTONE, ANY_INCARNATION and
 * PLAIN_RETENTION, each of which removes one rule. */

#define ATTEMPTS 2    /* 3 did not finish within 200 s */
#define CONNECTIONS 3 /* 0 carries the request, the others one query each */
#define RESTARTS 2

/* Age of an attempt. */
#define YOUNG 0   /* within the query window and the deadline */
#define OLD 1     /* past the query window */
#define EXPIRED 2 /* past the retention */

mtype = { None, Done, NotRun, Unknown };
mtype = { Never, Queued, Running, Finished, Shed, Tombstone };

#define LINK(a, c) ((a) * CONNECTIONS + (c))

/* At most one message per attempt and connection. A message that is never
 * received is lost, so the model needs no step for a loss. */
bool sent[ATTEMPTS * CONNECTIONS];
byte sentIncarnation[ATTEMPTS * CONNECTIONS];
byte sentAge[ATTEMPTS * CONNECTIONS];
bool waiting[ATTEMPTS * CONNECTIONS];
/* The connection that the sender reads, and the reply received on it. */
byte current[ATTEMPTS];
mtype reply[ATTEMPTS] = None;

/* Each attempt goes to a different node. */
mtype state[ATTEMPTS] = Never;
byte incarnation[ATTEMPTS];
byte age[ATTEMPTS];
bool begun[ATTEMPTS];

/* Variables that only the properties use. */
byte runs;
bool ran[ATTEMPTS];
bool reported[ATTEMPTS];

/* Replies on connections that the sender no longer reads are dropped. */
inline Answer(a, c, r) {
  if
  :: current[a] == c -> reply[a] = r
  :: else
  fi
}

inline AnswerWaiters(a, r) {
  if
  :: waiting[LINK(a, 1)] -> Answer(a, 1, r); waiting[LINK(a, 1)] = false
  :: else
  fi;
  if
  :: waiting[LINK(a, 2)] -> Answer(a, 2, r); waiting[LINK(a, 2)] = false
  :: else
  fi
}

inline ReceiveRequest(a) {
  sent[LINK(a, 0)] = false;
  if
  :: sentIncarnation[LINK(a, 0)] != incarnation[a] -> skip
  :: else ->
    if
    :: age[a] != YOUNG -> Answer(a, 0, NotRun)
    :: age[a] == YOUNG && state[a] == Tombstone -> Answer(a, 0, NotRun)
    :: age[a] == YOUNG && state[a] == Never -> Answer(a, 0, NotRun) /* full */
    :: age[a] == YOUNG && state[a] == Never -> state[a] = Queued
    fi
  fi
}

inline ReceiveQuery(a, c) {
  sent[LINK(a, c)] = false;
  if
#ifndef ANY_INCARNATION
  :: sentIncarnation[LINK(a, c)] != incarnation[a] -> Answer(a, c, Unknown)
  :: else ->
#else
  :: true ->
#endif
    if
    :: state[a] == Finished -> Answer(a, c, Done)
    :: state[a] == Finished -> Answer(a, c, Unknown) /* response not kept */
    :: state[a] == Queued || state[a] == Running -> waiting[LINK(a, c)] = true
    :: state[a] == Shed || state[a] == Tombstone -> Answer(a, c, NotRun)
    :: state[a] == Never && sentAge[LINK(a, c)] != YOUNG ->
      Answer(a, c, Unknown)
    :: state[a] == Never -> Answer(a, c, Unknown) /* no room for tombstones */
    :: state[a] == Never && sentAge[LINK(a, c)] == YOUNG ->
#ifndef NO_TOMBSTONE
      state[a] = Tombstone;
#endif
      Answer(a, c, NotRun)
    fi
  fi
}

proctype Node(byte a) {
end:
  do
  :: atomic { sent[LINK(a, 0)] -> ReceiveRequest(a) }
  :: atomic { sent[LINK(a, 1)] -> ReceiveQuery(a, 1) }
  :: atomic { sent[LINK(a, 2)] -> ReceiveQuery(a, 2) }
  /* Refused in the queue, connect failure to the target, or shed by it. */
  :: atomic { state[a] == Queued ->
      state[a] = Shed; Answer(a, 0, NotRun); AnswerWaiters(a, NotRun) }
  :: atomic { state[a] == Queued ->
      state[a] = Running;
      runs++;
      ran[a] = true;
      assert(runs <= 1);
      assert(!reported[a]) }
  :: atomic { state[a] == Running ->
      state[a] = Finished; Answer(a, 0, Done); AnswerWaiters(a, Done) }
  :: atomic { age[a] == EXPIRED && (state[a] == Finished || state[a] == Shed ||
                                   state[a] == Tombstone) -> state[a] = Never }
  /* A restart ends the connections and loses the table. */
  :: atomic { begun[a] && incarnation[a] < RESTARTS ->
      incarnation[a]++;
      state[a] = Never;
      waiting[LINK(a, 1)] = false;
      waiting[LINK(a, 2)] = false }
  od
}

/* Ages an attempt that was sent. A query sent while the attempt was young and
 * not handled by the end of the retention was lost with its connection. */
proctype Clock(byte a) {
end:
  atomic { begun[a] -> age[a] = OLD };
  atomic {
#ifndef PLAIN_RETENTION
    if
    :: sentAge[LINK(a, 1)] == YOUNG -> sent[LINK(a, 1)] = false
    :: else
    fi;
    if
    :: sentAge[LINK(a, 2)] == YOUNG -> sent[LINK(a, 2)] = false
    :: else
    fi;
#endif
    age[a] = EXPIRED
  }
}

proctype Sender() {
  byte a = 0;
  byte c;
  byte known;
  mtype result;

  do
  :: a < ATTEMPTS ->
    atomic {
      known = incarnation[a];
      begun[a] = true;
      sent[LINK(a, 0)] = true;
      sentIncarnation[LINK(a, 0)] = known;
      c = 0
    };
    result = None;
    do
    :: atomic { reply[a] != None -> result = reply[a]; reply[a] = None };
      break
    /* The connection is lost: query over a new one. */
    :: atomic { c + 1 < CONNECTIONS ->
        c++;
        current[a] = c;
        reply[a] = None;
        sent[LINK(a, c)] = true;
        sentIncarnation[LINK(a, c)] = known;
        sentAge[LINK(a, c)] = age[a] }
    :: c + 1 == CONNECTIONS -> result = Unknown; break
    od;
    if
    :: result == NotRun ->
      atomic {
        assert(!ran[a]);
        reported[a] = true;
        a++
      }
    :: else -> break
    fi
  :: else -> break
  od
}

init {
  atomic {
    run Sender();
    run Node(0);
    run Node(1);
    run Clock(0);
    run Clock(1)
  }
}
