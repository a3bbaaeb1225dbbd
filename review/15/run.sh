#!/bin/sh
# Runs the case "quota" of review/standin-3. Exits with 1 if the rule was broken, 0 if it held and 2 if it could not run.
# With TROUBLE=0 it does the same without the disruption.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$folder/../.." || exit 2
test -x target/laburnumd || { echo "target/laburnumd is missing: run the build of deploy/system.toml" >&2; exit 2; }
test -x target/review-standin-3 || { echo "target/review-standin-3 is missing: run review/build-3.sh" >&2; exit 2; }
trouble=true
test "${TROUBLE:-1}" = 0 && trouble=false
exec target/review-standin-3 -case quota -trouble=$trouble -record "$folder/record.txt" -bin target/laburnumd
