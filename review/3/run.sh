#!/bin/sh
# Runs the case and writes record.txt beside this file. TROUBLE=0 leaves the disruption out.
# Exit: 1 the rule was broken, 0 it held, 2 the case could not run.
cd "$(dirname "$0")/../.." || exit 2
timeout 110 target/review/standin departure review/3/record.txt
status=$?
[ "$status" -le 1 ] || exit 2
exit "$status"
