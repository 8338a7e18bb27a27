#!/usr/bin/env bash
# Draws new schedules for every property: SCHEDULES (10,000) each, from a new SEED.
# CONTRIBUTING.md says when, and what is done with a seed that fails.
# PACKAGES names folders, when not all are to be drawn.
#
#   [SCHEDULES=N] [SEED=N] [PACKAGES="coordination/slots"] tools/draw.sh
set -euo pipefail
cd "$(dirname "$0")/.."
SCHEDULES=${SCHEDULES:-10000}
SEED=${SEED:-$(od -An -N8 -tu8 /dev/urandom | tr -d ' ')}
properties=$(git ls-files '*/testdata/seeds/*.txt' | grep -E "^(${PACKAGES:+$(tr -s ' ' '|' <<<"$PACKAGES")})")
echo "seed $SEED, $SCHEDULES schedules of each property"
go test -count=1 -timeout 60m -run "^($(basename -s .txt $properties | sort -u | paste -sd '|'))\$" \
  $(dirname $properties | sed 's|^|./|; s|/testdata/seeds$||' | sort -u) \
  -rapid.seed="$SEED" -rapid.checks="$SCHEDULES"
