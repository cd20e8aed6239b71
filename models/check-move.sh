#!/usr/bin/env bash
# Verifies models/move.pml with spin, and checks that each deliberate fault yields a counterexample.
set -euo pipefail
model="$(cd "$(dirname "$0")" && pwd)/move.pml"
work="$(mktemp -d)"
trap 'rm -rf "$work"' EXIT
cd "$work"

# Prints the number of errors that spin finds with the given options.
errors() {
  rm -f pan* ./*.trail
  spin "$@" -a "$model" > spin.log
  gcc -O2 -DSAFETY -o pan pan.c
  ./pan -m200000 > pan.log
  if grep -q 'error: max search depth too small' pan.log; then
    echo "check-move: search depth too small" >&2
    exit 1
  fi
  sed -n 's/.*errors: \([0-9]*\)$/\1/p' pan.log
}

found="$(errors)"
grep -E 'states, stored|State-vector' pan.log
echo "move model: $found errors"
[ "$found" -eq 0 ]
for fault in FAULT_BLIND_WRITE FAULT_NO_WINDOW FAULT_ABORT_AT_ONCE; do
  found="$(errors "-D$fault")"
  echo "$fault: $found errors (expected 1)"
  [ "$found" -ge 1 ]
done
