#!/usr/bin/env bash
# Plays days of a deployment with two builds, side by side on the same seeds, and prints one
# table: worth, served, refused and failed of what is owed, requests in time by kind, and rules
# that were broken. A play differs from the next by some hundredths: a small difference needs
# several seeds.
#
#   tools/compare.sh BENCH SITE BEFORE AFTER DAY...
#
# BENCH is the program that plays days, SITE a deployment's file, BEFORE and AFTER checkouts of
# this repository, each DAY a name of SITE or a file of its own. SEEDS is a list of seeds (one
# play with the day's own without it); JOBS is how many plays run at a time (2).
set -euo pipefail
[ $# -ge 5 ] || { sed -n '2,/^set /p' "$0" | grep '^#' | cut -c3-; exit 2; }
bench=$1 site=$2 before=$3 after=$4
shift 4
reports=$(mktemp -d)
trap 'rm -rf "$reports"' EXIT

# play BUILD CHECKOUT DAY SEED: writes one report; the bench takes days' files by full path.
play() {
  local seed=()
  [ "$4" = own ] || seed=(--seed "$4")
  cd "$2"
  "$bench" run "$site" "$3" --jobs 1 "${seed[@]}" --why "compared with another build: $1" \
    >"$reports/$1.$(basename "$3" .toml).$4" 2>&1 || true # a report without figures shows as such
}
export -f play
export bench site reports

for day in "$@"; do
  for seed in ${SEEDS:-own}; do
    printf '%s\0' before "$before" "$day" "$seed" after "$after" "$day" "$seed"
  done
done | xargs -0 -n 4 -P "${JOBS:-2}" bash -c 'play "$@"' play

printf '%-24s %-7s %6s %6s %7s %6s  %s\n' "day and seed" build worth served refused failed "in time by kind; rules broken"
for report in $(cd "$reports" && ls | sort -t. -k2,3 -k1,1r); do
  IFS=. read -r build day seed <<<"$report"
  awk -v build="$build" -v day="$day" -v seed="$seed" '
    $1 == day && $2 ~ "/" { worth = $4; served = $5; refused = $6; failed = $7 }
    /^class / { kinds = 1; next }
    kinds && NF == 0 { kinds = 0 }
    kinds { in_time = in_time " " $1 " " $3 }
    /^rules broken:/ { sub(/^rules broken: */, ""); broken = "; " $0 }
    END {
      if (worth == "") worth = "none"
      printf "%-24s %-7s %6s %6s %7s %6s %s%s\n", day " " seed, build, worth, served, refused, failed, in_time, broken
    }' "$reports/$report"
done
