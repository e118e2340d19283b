#!/usr/bin/env bash
# Plays the case of this folder: 1 if the rule was broken, 0 if it held, 2 if the case could
# not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-3-driver ] || { echo "target/review-3-driver is missing: run review/build-3.sh"; exit 2; }
exec target/review-3-driver stale-order review/13
