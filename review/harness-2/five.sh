#!/usr/bin/env bash
# Runs a case once without the disruption and five times with it; prints the exit codes.
cd "$(dirname "$0")/../.." || exit 2
TROUBLE=0 "review/$1/run.sh"; echo "case $1, without the disruption: $?"
for i in 1 2 3 4 5; do "review/$1/run.sh"; echo "case $1, run $i: $?"; done
