#!/bin/sh
# Builds the programs under test with the line of the deploy file, and the stand-ins of the review.
set -e
cd "$(dirname "$0")/.."
sh -c "$(sed -n 's/^build = "\(.*\)"$/\1/p' deploy/system.toml)"
mkdir -p target/review
go build -tags review -o target/review/ ./review/...
