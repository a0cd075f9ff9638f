#!/usr/bin/env bash
# Verifies every model under spec/ and requires that the verifier finds a violated assertion in each of its mutants. A
# model lists its mutants in a comment line "Mutants: A, B." and may set the search depth in a comment line "Depth: N.".
set -euo pipefail
cd "$(dirname "$0")/.."
command -v spin >/dev/null || { echo "spin is not installed; on Debian: apt-get install spin" >&2; exit 2; }

root=$PWD
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
failed=0

# verify MODEL NAME [DEFINE]: verifies a model, with the mutant DEFINE if given, and prints the output of the verifier.
verify() {
  local dir="$work/$2"
  mkdir -p "$dir"
  (cd "$dir" && spin -a ${3:+-D$3} "$root/$1" >/dev/null && gcc -O2 -w -DSAFETY -DCOLLAPSE -DVECTORSZ=2048 -DMEMLIM=3000 -o pan pan.c && ./pan -E -m"$depth")
}

# row NAME VERDICT OUTPUT: prints a line with the verdict and the statistics from the verifier's output.
row() {
  printf '%-34s %-10s %12s states  depth %s\n' "$1" "$2" \
    "$(sed -n 's/^ *\([0-9.e+]*\) states, stored.*/\1/p' <<<"$3" | head -1)" \
    "$(sed -n 's/.*depth reached \([0-9]*\).*/\1/p' <<<"$3" | head -1)"
}

for model in spec/*.pml; do
  name=$(basename "$model" .pml)
  depth=$(sed -n 's/.*Depth: \([0-9]*\).*/\1/p' "$model")
  depth=${depth:-1000000}
  out=$(verify "$model" "$name" 2>&1) || true
  if grep -q 'errors: 0' <<<"$out" && ! grep -qiE 'max search depth too small|memory (limit|exceeded)|out of memory' <<<"$out"; then
    row "$name" holds "$out"
  else
    row "$name" FAILED "$out"; grep -iE 'error|assert|pan:' <<<"$out" | head -5; failed=1
  fi
  for mutant in $(sed -n 's/.*Mutants: \(.*\)\./\1/p' "$model" | tr -d ','); do
    out=$(verify "$model" "$name-$mutant" "$mutant" 2>&1) || true
    if grep -q 'assertion violated' <<<"$out"; then
      row "  mutant $mutant" refuted "$out"
    else
      row "  mutant $mutant" SURVIVED "$out"; failed=1
    fi
  done
done
exit "$failed"
