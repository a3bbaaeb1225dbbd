#!/usr/bin/env bash
# Plays the case restart-evict of review/standin-2, which review/build-2.sh builds. Exits with 1 if the rule was broken, 0 if it
# held and 2 if the case could not run. TROUBLE=0 leaves out the disruption.
set -uo pipefail
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
[ -x target/review-standin-2 ] && [ -x target/laburnumd ] || { echo "run review/build-2.sh and the build of the deploy file first"; exit 2; }
exec target/review-standin-2 --case restart-evict --record "$here/record.txt"
