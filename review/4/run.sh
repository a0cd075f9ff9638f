#!/usr/bin/env bash
# Plays the case "changed-kind". TROUBLE=0 leaves the disruption out. Exits with 1 if the rule was broken, 0 if it held and 2 if
# the case could not run.
set -u
cd "$(dirname "$0")/../.."
for program in target/clementine-node target/review-standin; do
  [ -x "$program" ] || { echo "$program is not built" >&2; exit 2; }
done
TROUBLE="${TROUBLE:-1}" timeout -k 3 112 target/review-standin changed-kind review/4/record.txt
status=$?
[ "$status" -le 1 ] || exit 2
exit "$status"
