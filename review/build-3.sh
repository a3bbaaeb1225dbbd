#!/bin/sh
# Builds the stand-ins of the third review into target/.
set -e
cd "$(dirname "$0")/.."
go build -tags review -o target/review-standin-3 ./review/standin-3
