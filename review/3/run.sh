#!/bin/sh
# Plays the case late-order: exits with 1 if the rule was broken, 0 if it held, 2 if the
# case could not run. TROUBLE=0 plays it without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/fleetd ] && [ -x target/review-standin ] || exit 2
exec target/review-standin -case late-order -record review/3/record.txt
