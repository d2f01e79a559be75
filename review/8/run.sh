#!/bin/sh
# Exit 1: the rule was broken; 0: it held; 2: the case couldn't run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-2/lab2 ] && [ -x target/pomelospoold ] || exit 2
exec target/review-2/lab2 take-ups-release review/8/record.txt
