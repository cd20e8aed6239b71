/*
 * The duty of usage reports: two VMs take it over by conditional writes of one row, make the counts
 * of windows final in it, and report them to the platform.
 *
 * A VM may be paused before any step, so every step may act on a stale view. Writes and reports may
 * take effect late, after newer ones. A VM may restart: it forgets its view, not its late calls. The
 * counts of two VMs for the same window differ, so that a window that is reported from a count that
 * is not final shows.
 *
 * Verified: two VMs never send the same fence; the platform never accepts two different reports of a
 * window; an accepted report never has a lower fence than one accepted before.
 *
 * Faults for self-checks, each of which must yield a counterexample:
 *   -DFAULT_BLIND_WRITE     a takeover is written without a condition on the row
 *   -DFAULT_SAME_FENCE      a takeover does not raise the fence
 *   -DFAULT_NO_FREEZE       a VM reports its own counts without making them final in the row
 *   -DFAULT_UNCONFIRMED     a VM reports counts whose write was not confirmed by the store
 */
#define VMS 2
#define MAX_REVISION 5
#define MAX_FENCE 3
#define WINDOWS 2
#define RESTARTS 2
#define NONE 9

/* The row: holder, its start, fence, newest frozen window and its count. */
typedef Row { byte revision; byte holder; byte start; byte fence; byte window; byte count };
Row row;

/* The view of a VM: the row as it was read or confirmed, and whether it holds the duty by it. */
typedef View { bool known; bool holds; byte revision; byte holder; byte start; byte fence; byte window; byte count };
View view[VMS];
byte starts[VMS];
byte restarts = 0;

/* One call of each VM that may take effect late, and whether the VM still waits for its answer. */
typedef Write { bool open; bool awaited; byte expected; byte start; byte fence; byte window; byte count };
Write write[VMS];
typedef Report { bool open; byte fence; byte window; byte count };
Report report[VMS];

byte platformFence = 0;
byte acceptedCount[WINDOWS + 1];
byte fenceUser[MAX_FENCE + 2];

#ifdef FAULT_BLIND_WRITE
#define CONDITION_HOLDS(v) true
#else
#define CONDITION_HOLDS(v) (row.revision == write[v].expected)
#endif
#ifdef FAULT_SAME_FENCE
#define NEXT_FENCE(f) (f == 0 -> 1 : f)
#else
#define NEXT_FENCE(f) (f + 1)
#endif

inline readRow(v) {
  view[v].known = true;
  view[v].revision = row.revision;
  view[v].holder = row.holder;
  view[v].start = row.start;
  view[v].fence = row.fence;
  view[v].window = row.window;
  view[v].count = row.count;
  view[v].holds = (row.revision > 0 && row.holder == v && row.start == starts[v])
}

inline startWrite(v, newFence, newWindow, newCount) {
  write[v].open = true;
  write[v].awaited = true;
  write[v].expected = view[v].revision;
  write[v].start = starts[v];
  write[v].fence = newFence;
  write[v].window = newWindow;
  write[v].count = newCount
}

/* The store carries out a write, and the VM may still get the answer. */
inline applyWrite(v) {
  if
  :: CONDITION_HOLDS(v) && row.revision < MAX_REVISION ->
     row.revision++;
     row.holder = v;
     row.start = write[v].start;
     row.fence = write[v].fence;
     row.window = write[v].window;
     row.count = write[v].count;
     if
     :: write[v].awaited -> readRow(v)
     :: true -> view[v].known = false /* The answer is lost. */
     fi
  :: else -> view[v].known = false
  fi;
  write[v].open = false;
  write[v].awaited = false
}

inline startReport(v, reported) {
  report[v].open = true;
  report[v].fence = view[v].fence;
  report[v].window = view[v].window;
  report[v].count = reported;
  assert(fenceUser[view[v].fence] == NONE || fenceUser[view[v].fence] == v);
  fenceUser[view[v].fence] = v
}

/* The platform carries out a report, at once or late; it checks the fence then. */
inline applyReport(v) {
  if
  :: report[v].fence < platformFence -> view[v].holds = false
  :: else ->
     platformFence = report[v].fence;
     assert(acceptedCount[report[v].window] == 0
       || acceptedCount[report[v].window] == report[v].count);
     acceptedCount[report[v].window] = report[v].count
  fi;
  report[v].open = false
}

proctype Vm(byte v) {
  do
  :: atomic { !write[v].awaited -> readRow(v) }
  /* Takeover, also by a new start of the holder. The holder may not be heard at any time. */
  :: atomic {
       !write[v].open && view[v].known && !view[v].holds && view[v].fence < MAX_FENCE ->
       startWrite(v, NEXT_FENCE(view[v].fence), view[v].window, view[v].count)
     }
  /* The counts of the next window become final. */
  :: atomic {
       !write[v].open && view[v].known && view[v].holds && view[v].window < WINDOWS ->
       startWrite(v, view[v].fence, view[v].window + 1, v + 1);
#ifdef FAULT_UNCONFIRMED
       view[v].window++;
       view[v].count = v + 1
#endif
     }
  /* A write without an answer is given up; it may still take effect. */
  :: atomic { write[v].awaited -> write[v].awaited = false; view[v].known = false }
  :: atomic { write[v].open -> applyWrite(v) }
  /* A report, which may be a repeat. The view may be out of date. */
  :: atomic {
       !report[v].open && view[v].holds && view[v].window > 0 ->
#ifdef FAULT_NO_FREEZE
       startReport(v, v + 1)
#else
       startReport(v, view[v].count)
#endif
     }
  :: atomic { report[v].open -> applyReport(v) }
  :: atomic {
       restarts < RESTARTS ->
       restarts++;
       starts[v]++;
       view[v].known = false;
       view[v].holds = false;
       write[v].awaited = false
     }
  od
}

init {
  atomic {
    byte i = 0;
    do
    :: i < MAX_FENCE + 2 -> fenceUser[i] = NONE; i++
    :: else -> break
    od;
    run Vm(0);
    run Vm(1)
  }
}
