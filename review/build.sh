#!/usr/bin/env bash
# Compiles the stand-ins and the cases into review/target. Needs a JDK 17 only.
set -eu
cd "$(dirname "$0")"
rm -rf target
mkdir -p target/classes
javac -d target/classes standins/review/*.java
