/*
 * One traffic move: several VMs advance, roll back and abort the same stored record by conditional
 * writes. Split and cap are counted in steps; the move is complete at SIZE steps.
 *
 * Verified: the split changes by at most CAP steps per window, a finished move never changes, a
 * move that is rolled back ends at split 0, and an accepted abort is never followed by DONE.
 *
 * Compile-time faults, each of which must yield a counterexample:
 *   -DFAULT_BLIND_WRITE      the record is written without a condition on its version
 *   -DFAULT_NO_WINDOW        a VM advances before it has known the record for a whole window
 *   -DFAULT_ABORT_AT_ONCE    an abort reverts the whole split in one write
 */
#define VMS 2
#define SIZE 3
#define CAP 1
#define WINDOWS 7

mtype = { RUNNING, TAKING_BACK, DONE, TAKEN_BACK, ABORTED };

mtype state = RUNNING;
byte split = 0;
byte version = 0;
byte window = 0;          /* number of elapsed windows */
byte changeWindow = 0;    /* window of the last change */
bool changed = false;     /* whether the split was ever changed */
byte changedInWindow = 0; /* sum of the changes within the window of the last change, in steps */
bool abortAccepted = false;
bool deadlinePassed = false;

#define FINAL(s) (s == DONE || s == TAKEN_BACK || s == ABORTED)

/* Accounts for a change of the split; changes within the same window add up. */
inline account(size) {
  if
  :: size > 0 && changed && window == changeWindow -> changedInWindow = changedInWindow + size
  :: size > 0 && !(changed && window == changeWindow) -> changedInWindow = size
  :: else -> skip
  fi;
  if
  :: size > 0 -> changed = true; changeWindow = window
  :: else -> skip
  fi;
  assert(changedInWindow <= CAP)
}

/* Writes the planned record if its version has not changed since it was read. */
inline commit(newState, newSplit) {
  if
#ifdef FAULT_BLIND_WRITE
  :: true ->
#else
  :: version == seenVersion ->
#endif
     assert(!FINAL(state));
     if
     :: newSplit > split -> account(newSplit - split)
     :: newSplit < split -> account(split - newSplit)
     :: else -> skip
     fi;
     split = newSplit;
     state = newState;
     version++;
     assert(!(abortAccepted && state == DONE));
     assert(!(FINAL(state) && state != DONE && split != 0))
#ifndef FAULT_BLIND_WRITE
  :: else -> skip
#endif
  fi
}

proctype Vm() {
  byte seenVersion;
  byte seenSplit;
  byte seenWindow;
  mtype seenState;
  bool seenAbort;
  mtype nextState;

  do
  :: atomic { /* Reads the record; the view may become stale before the write below. */
       version < 20 && window < WINDOWS ->
       seenVersion = version; seenSplit = split; seenState = state;
       seenAbort = abortAccepted; seenWindow = window
     };
     if
     :: FINAL(seenState) -> break
     :: else -> skip
     fi;
#ifndef FAULT_NO_WINDOW
     /* Waits until a whole window has elapsed since this version was read. */
     (window > seenWindow || window >= WINDOWS);
     if
     :: window >= WINDOWS && window <= seenWindow -> break
     :: else -> skip
     fi;
#endif
     if
     :: seenState == RUNNING && !deadlinePassed -> atomic {
          nextState = (seenSplit + 1 == SIZE -> DONE : RUNNING);
          commit(nextState, seenSplit + 1)
        }
     :: seenState == RUNNING && deadlinePassed -> atomic {
          if
          :: seenSplit > 1 -> commit(TAKING_BACK, seenSplit - 1)
          :: else -> commit(TAKEN_BACK, 0)
          fi
        }
     :: seenState == TAKING_BACK -> atomic {
          nextState = (seenAbort -> ABORTED : TAKEN_BACK);
          if
          :: seenSplit > 1 -> commit(TAKING_BACK, seenSplit - 1)
          :: else -> commit(nextState, 0)
          fi
        }
     fi
  :: window >= WINDOWS -> break
  od
}

proctype Operator() {
  byte seenVersion;
  byte seenSplit;
  mtype seenState;

  atomic { seenVersion = version; seenState = state; seenSplit = split };
  if
  :: !FINAL(seenState) -> atomic {
       if
       :: version == seenVersion ->
#ifdef FAULT_ABORT_AT_ONCE
          account(split);
          split = 0;
#endif
          abortAccepted = true;
          state = TAKING_BACK;
          version++
       :: else -> skip
       fi
     }
  :: else -> skip
  fi
}

proctype Time() {
  do
  :: window < WINDOWS -> atomic {
       window++;
       if
       :: deadlinePassed = true
       :: skip
       fi
     }
  :: else -> break
  od
}

init {
  byte index = 0;
  atomic {
    do
    :: index < VMS -> run Vm(); index++
    :: else -> break
    od;
    run Operator();
    run Time()
  }
}
