#!/usr/bin/env bash
# Exits with 1 if the rule of claim.txt was broken, 0 if it held, 2 if the case could
# not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/standin3 ] && [ -x target/fleetd ] || exit 2
exec target/standin3 -case pending -program target/fleetd -record review/13/record.txt
