#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: no disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/case_3 ] && [ -x target/birchlever ] || exit 2
exec target/review/case_3 review/3/record.txt
