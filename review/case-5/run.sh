#!/bin/sh
# See claim.txt.  TROUBLE=0 leaves the disruption out.  What was sent, answered
# and run goes into record.txt.  Exits with 1 if the rule was broken, 0 if it
# held, 2 if the case could not run.
cd "$(dirname "$0")" || exit 2
: >record.txt || exit 2
timeout -k 5 110 python3 play.py record.txt
rc=$?
[ $rc -le 1 ] || rc=2
exit $rc
