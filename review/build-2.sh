#!/usr/bin/env bash
# Builds the programs of the second review's cases. The build of the deploy file comes first.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -tags review -o target/review-4 ./review/4/stopping
go build -tags review -o target/review-5 ./review/5/hotlookup
go build -tags review -o target/review-6 ./review/6/doubled
go build -tags review -o target/review-7 ./review/7/earlykill
