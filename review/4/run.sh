#!/usr/bin/env bash
# Runs the case against target/laburnumd. Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/laburnumd ] && [ -x target/review-standin ] || exit 2
exec target/review-standin many-ends review/4
