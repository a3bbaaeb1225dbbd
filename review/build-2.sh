#!/usr/bin/env bash
# Builds the stand-in of the cases 7 to 10 into target/. It needs no network.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -tags review -o target/review-standin-2 ./review/standin-2
