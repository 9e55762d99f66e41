#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: no disruption.
cd "$(dirname "$0")/../.." || exit 2
program=target/review-2/case-6
if [ ! -x target/birchlever ] || [ ! -x "$program" ]; then
  echo "build target/birchlever and run review/build-2.sh first"
  exit 2
fi
"$program" review/6
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
