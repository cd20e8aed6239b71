/*
 * Lease and handover of one resource between two VMs, with pauses, a store cut and takeover.
 *
 * Time is counted in ticks. A holder that runs takes part in each tick; a paused one does not.
 * The row is written atomically by conditional writes. The property: at no time do two VMs use
 * the resource, where use includes requests in flight for DEADLINE ticks after the last dispatch.
 *
 * Faults for self-checks:
 *   -DFAULT_NO_QUARANTINE  a new owner uses the resource at once after a takeover
 *   -DFAULT_NO_FENCE       a VM that was paused keeps its isolated mode
 *   -DFAULT_NO_PROBE       a holder that is alive is displaced after its lease
 *   -DFAULT_LONG_PAUSE     after a pause in which a takeover was possible, a VM becomes isolated
 *                          although a member does not answer
 *   -DFAULT_NO_CONFIRM     a planned handover does not wait for requests in flight
 */
#define LEASE 3
#define DEADLINE 2
#define NONE 2

byte owner = 0;         /* owner in the row */
bool releasing = false; /* the row asks the owner to release */
bool loss = false;      /* the owner got the resource by takeover */
bool storeUp = true;
bool paused[2];
bool knowsOwner[2];     /* the VM's view of the row says that it owns the resource */
byte leaseLeft[2];      /* ticks of the lease that are left by the holder's own clock */
byte silent[2];         /* ticks without sign of the VM, as the other one counts */
byte quarantine[2];
byte inFlight[2];       /* ticks until the last request of the VM has ended */
bool isolated[2];
bool longPause[2];      /* the VM was paused for long and has not read the row since */

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
#define LOST(o) (storeUp && owner == o && silent[o] > LEASE && PROBE_FAILED(o))
#define MAY(i) (!paused[i] && knowsOwner[i] && !(releasing && owner == i && storeUp) \
  && quarantine[i] == 0 && (leaseLeft[i] > 0 || isolated[i]))

/* The VM reads the row or hears of it; the lease starts anew if the row includes its heartbeat. */
inline learn(i) {
  if
  :: owner == i ->
     if
     :: !knowsOwner[i] && loss ->
        quarantine[i] = QUARANTINE
     :: else
     fi;
     knowsOwner[i] = true;
     leaseLeft[i] = LEASE
  :: else -> knowsOwner[i] = false
  fi;
  isolated[i] = false;
  longPause[i] = false
}

/* One round of a VM that runs. */
inline round(i, o) {
  if
  :: storeUp -> learn(i)
  :: else ->
     /* Store down: isolated if the other one is paused or reports the same and no newer row. */
     if
     :: !paused[o] && knowsOwner[o] && owner == o -> isolated[i] = false; knowsOwner[i] = false
     :: else -> isolated[i] = knowsOwner[i] && !HIDDEN_TAKEOVER(i, o)
     fi
  fi;
  if
  :: MAY(i) && !(releasing && owner == i) -> inFlight[i] = DEADLINE
  :: true
  fi;
  /* Confirmed release of a planned handover. */
  if
  :: RELEASED(i, o) ->
     owner = o; releasing = false; loss = false; knowsOwner[i] = false
  :: storeUp && owner == i && !releasing && !paused[o] -> releasing = true
  :: true
  fi;
  /* Takeover after the whole lease without sign of the holder and a probe without answer. */
  if
  :: LOST(o) -> owner = i; releasing = false; loss = true; knowsOwner[i] = false
  :: true
  fi
}

inline elapse(i) {
  if :: leaseLeft[i] > 0 -> leaseLeft[i]-- :: else fi;
  if :: quarantine[i] > 0 -> quarantine[i]-- :: else fi;
  if :: inFlight[i] > 0 -> inFlight[i]-- :: else fi;
  /* While the store is up and the VM runs, its heartbeats reach the row in each tick. */
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
  knowsOwner[0] = true;
  leaseLeft[0] = LEASE;
  do
  :: atomic {
       mayPause(0);
       mayPause(1);
       if :: storeUp = !storeUp :: true fi;
       /* Between waking and its first round a VM may dispatch on its old view. */
       if :: MAY(0) -> inFlight[0] = DEADLINE :: true fi;
       if :: MAY(1) -> inFlight[1] = DEADLINE :: true fi;
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
