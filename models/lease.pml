/*
 * Lease, planned handover and takeover of one resource between two VMs, with process pauses and
 * store outages.
 *
 * Time is counted in ticks. A running VM takes part in each tick; a paused VM does not. The row is
 * written atomically by conditional writes. Verified property: the two VMs never use the resource
 * at the same time. Use includes requests in flight for DEADLINE ticks after the last dispatch.
 *
 * Faults for self-checks, each of which must yield a counterexample:
 *   -DFAULT_NO_QUARANTINE  a new owner uses the resource immediately after a takeover
 *   -DFAULT_NO_FENCE       a VM stays in isolated mode after a pause
 *   -DFAULT_NO_PROBE       a holder that is alive is displaced after its lease, without a probe
 *   -DFAULT_LONG_PAUSE     after a pause that allows a takeover, a VM enters isolated mode although
 *                          a member does not answer
 *   -DFAULT_NO_CONFIRM     a planned handover does not wait for requests in flight
 */
#define LEASE 3
#define DEADLINE 2
#define NONE 2

byte owner = 0;         /* owner in the row */
bool releasing = false; /* a release by the owner is requested in the row */
bool takenOver = false; /* the owner acquired the resource by takeover */
bool storeUp = true;
bool paused[2];
bool ownsInView[2];     /* whether the VM owns the resource in its view of the row */
byte leaseLeft[2];      /* remaining lease in ticks, by the holder's own clock */
byte silent[2];         /* ticks since the other VM last had a sign of life of this VM */
byte quarantine[2];
byte inFlight[2];       /* ticks until the last request of the VM ends */
bool isolated[2];
bool longPause[2];      /* the VM has not read the row since a long pause */

#ifdef FAULT_NO_QUARANTINE
#define QUARANTINE 0
#else
#define QUARANTINE (DEADLINE + 1)
#endif
#ifdef FAULT_NO_FENCE
#define KEEPS_ISOLATED true
#else
#define KEEPS_ISOLATED false
#endif
#ifdef FAULT_NO_PROBE
#define PROBE_FAILED(o) true
#define SIGN_OF_LIFE(i) (!paused[i] && storeUp)
#else
#define PROBE_FAILED(o) paused[o]
#define SIGN_OF_LIFE(i) (!paused[i])
#endif
#ifdef FAULT_NO_CONFIRM
#define ENDED(i) true
#else
#define ENDED(i) (inFlight[i] == 0)
#endif
#ifdef FAULT_LONG_PAUSE
#define HIDDEN_TAKEOVER(i, o) false
#else
#define HIDDEN_TAKEOVER(i, o) (longPause[i] && paused[o])
#endif

#define RELEASED(i, o) (storeUp && owner == i && releasing && quarantine[i] == 0 \
  && ENDED(i) && !paused[o])
#define MAY_TAKE_OVER(o) (storeUp && owner == o && silent[o] > LEASE && PROBE_FAILED(o))
#define MAY_DISPATCH(i) (!paused[i] && ownsInView[i] && !(releasing && owner == i && storeUp) \
  && quarantine[i] == 0 && (leaseLeft[i] > 0 || isolated[i]))

/* The VM reads or receives the row. This renews the lease of the owner, since the row of a running
 * VM includes its heartbeat. */
inline readRow(i) {
  if
  :: owner == i ->
     if
     :: !ownsInView[i] && takenOver ->
        quarantine[i] = QUARANTINE
     :: else
     fi;
     ownsInView[i] = true;
     leaseLeft[i] = LEASE
  :: else -> ownsInView[i] = false
  fi;
  isolated[i] = false;
  longPause[i] = false
}

/* One round of a running VM. */
inline round(i, o) {
  if
  :: storeUp -> readRow(i)
  :: else ->
     /* Store down: isolated mode if the other VM reports no newer row or does not answer. After a
      * long pause, in which a takeover was possible, the other VM has to answer. */
     if
     :: !paused[o] && ownsInView[o] && owner == o -> isolated[i] = false; ownsInView[i] = false
     :: else -> isolated[i] = ownsInView[i] && !HIDDEN_TAKEOVER(i, o)
     fi
  fi;
  if
  :: MAY_DISPATCH(i) && !(releasing && owner == i) -> inFlight[i] = DEADLINE
  :: true
  fi;
  /* Planned handover: the owner confirms the release. */
  if
  :: RELEASED(i, o) ->
     owner = o; releasing = false; takenOver = false; ownsInView[i] = false
  :: storeUp && owner == i && !releasing && !paused[o] -> releasing = true
  :: true
  fi;
  /* Takeover: no sign of life for a whole lease, and the probe is not answered. */
  if
  :: MAY_TAKE_OVER(o) -> owner = i; releasing = false; takenOver = true; ownsInView[i] = false
  :: true
  fi
}

inline elapse(i) {
  if :: leaseLeft[i] > 0 -> leaseLeft[i]-- :: else fi;
  if :: quarantine[i] > 0 -> quarantine[i]-- :: else fi;
  if :: inFlight[i] > 0 -> inFlight[i]-- :: else fi;
  /* A running VM is seen alive in each tick; with FAULT_NO_PROBE only by its heartbeats in the row,
   * which reach the row while the store is up. */
  if
  :: SIGN_OF_LIFE(i) -> silent[i] = 0
  :: else -> if :: silent[i] <= LEASE -> silent[i]++ :: else fi
  fi
}

inline mayPause(i) {
  if
  :: !paused[i] -> paused[i] = true
  :: paused[i] ->
     paused[i] = false;
     longPause[i] = longPause[i] || silent[i] >= LEASE;
     isolated[i] = isolated[i] && KEEPS_ISOLATED
  :: true
  fi
}

active proctype world() {
  ownsInView[0] = true;
  leaseLeft[0] = LEASE;
  do
  :: atomic {
       mayPause(0);
       mayPause(1);
       if :: storeUp = !storeUp :: true fi;
       /* A VM that resumes may dispatch on its stale view before its first round. */
       if :: MAY_DISPATCH(0) -> inFlight[0] = DEADLINE :: true fi;
       if :: MAY_DISPATCH(1) -> inFlight[1] = DEADLINE :: true fi;
       assert(!(inFlight[0] > 0 && inFlight[1] > 0));
       if
       :: !paused[0] -> round(0, 1)
       :: else
       fi;
       if
       :: !paused[1] -> round(1, 0)
       :: else
       fi;
       assert(!(inFlight[0] > 0 && inFlight[1] > 0));
       elapse(0);
       elapse(1)
     }
  od
}
