#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the SIGTERMs out.
# What was sent, answered and run is written to record.txt in this folder.
record=$(cd "$(dirname "$0")" && pwd)/record.txt
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-4 ] || exit 2
exec target/review-4 "$record"
