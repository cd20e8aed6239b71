/*
 * Adoption of configuration versions by three VMs that read the store or query each other.
 *
 * Messages may be delayed and reordered. Verified properties: a VM never adopts a lower version; a
 * proof of key freshness is never more recent than the read that established it; of concurrent
 * writes of the same version, only one is accepted.
 *
 * Faults for self-checks, each of which must yield a counterexample:
 *   -DFAULT_ANY_VERSION     a VM adopts every version that arrives, even a lower one
 *   -DFAULT_LATE_PROOF      a proof is dated to the arrival of the answer instead of the read
 *   -DFAULT_EARLY_PROOF     a proof is accepted although its version is not adopted yet
 *   -DFAULT_UNCONDITIONAL   a version is written without a condition on the current version
 */
#define VMS 3
#define MAX_VERSION 3

byte current = 1;          /* version in the store */
byte time = 0;
byte acceptedAt[MAX_VERSION + 2]; /* time at which each version was accepted */
byte accepted[MAX_VERSION + 2];   /* how often each version was accepted */
byte adopted[VMS];
byte provenAt[VMS];        /* time at which no version higher than the adopted one existed */

typedef Answer { bool used; byte to; byte version; byte readAt };
Answer net[2];

#ifdef FAULT_ANY_VERSION
#define MAY_ADOPT(vm, v) true
#else
#define MAY_ADOPT(vm, v) (v > adopted[vm])
#endif
#ifdef FAULT_EARLY_PROOF
#define MAY_PROVE(vm, v) true
#else
#define MAY_PROVE(vm, v) (v <= adopted[vm])
#endif
#ifdef FAULT_LATE_PROOF
#define PROOF_TIME(at) time
#else
#define PROOF_TIME(at) at
#endif
#ifdef FAULT_UNCONDITIONAL
#define MAY_WRITE(v) true
#else
#define MAY_WRITE(v) (current == v)
#endif

inline adopt(vm, v) {
  if
  :: MAY_ADOPT(vm, v) -> assert(v >= adopted[vm]); adopted[vm] = v
  :: else
  fi
}

inline prove(vm, v, at) {
  if
  :: at > provenAt[vm] && MAY_PROVE(vm, v) ->
     provenAt[vm] = at;
     /* The proof would be wrong if a newer version had been accepted by its time. */
     assert(accepted[adopted[vm] + 1] == 0 || acceptedAt[adopted[vm] + 1] > at)
  :: else
  fi
}

active proctype operators() {
  byte first;
  byte second;
  do
  :: current < MAX_VERSION ->
     /* Two operators read the same version and both try to write the next one. */
     first = current;
     second = current;
     atomic {
       if
       :: MAY_WRITE(first) ->
          time++; current = first + 1; accepted[current]++; acceptedAt[current] = time
       :: else
       fi
     };
     atomic {
       if
       :: MAY_WRITE(second) ->
          time++; current = second + 1; accepted[current]++; acceptedAt[current] = time
       :: else
       fi
     };
     assert(accepted[2] <= 1 && accepted[3] <= 1)
  :: else -> break
  od
}

/* Sends the answers of the store and of peers, and delivers them with arbitrary delay. */
active proctype network() {
  byte vm;
  byte from;
  byte slot;
  byte seen;
  byte asOf;
  do
  :: atomic {
       select(vm : 0 .. VMS - 1);
       select(slot : 0 .. 1);
       if
       :: !net[slot].used ->
          net[slot].used = true;
          net[slot].to = vm;
          if
          :: net[slot].version = current; net[slot].readAt = time
          :: select(from : 0 .. VMS - 1);
             net[slot].version = adopted[from]; net[slot].readAt = provenAt[from]
          fi
       :: else -> 
          /* Answers arrive in any order; a body may arrive without its proof and vice versa. */
          vm = net[slot].to;
          seen = net[slot].version;
          asOf = PROOF_TIME(net[slot].readAt);
          if
          :: adopt(vm, seen)
          :: true
          fi;
          prove(vm, seen, asOf);
          seen = 0;
          asOf = 0;
          net[slot].used = false;
          net[slot].version = 0;
          net[slot].readAt = 0;
          net[slot].to = 0
       fi
     }
  od
}

init {
  atomic { accepted[1] = 1; accepted[2] = 0 }
}
