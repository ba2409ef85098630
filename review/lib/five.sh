#!/usr/bin/env bash
# Runs the script of a case five times with its disruption and twice without, and prints the exit codes.
cd "$(dirname "$0")/../$1" || exit 2
for run in 1 2 3 4 5; do ./run.sh; echo "run $run: exit $?"; done
cp record.txt record.kept
for run in 1 2; do TROUBLE=0 ./run.sh; echo "run $run without trouble: exit $?"; done
mv record.kept record.txt
