#!/usr/bin/env bash
# Mutation tests: applies the replacements of scripts/mutants.txt one at a time in a copy of the tree, and requires that
# the tests of the package fail. MUTANT=text selects the lines whose first column contains the text.
set -euo pipefail
cd "$(dirname "$0")/.."
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
git ls-files -z --cached --others --exclude-standard | xargs -0 cp --parents -t "$work" 2>/dev/null || true

trim() { sed 's/^ *//; s/ *$//' <<<"$1"; }

failed=0
while IFS='|' read -r guarantee file text replacement package tests; do
  guarantee=$(trim "$guarantee") file=$(trim "$file") text=$(trim "$text") replacement=$(trim "$replacement")
  package=$(trim "$package") tests=$(trim "$tests")
  [[ -z ${MUTANT:-} || $guarantee == *"$MUTANT"* ]] || continue
  original=$(cat "$work/$file"; printf x) original=${original%x}
  if [[ $original != *"$text"* ]]; then
    printf '%-62s MISSING: %s does not contain the text\n' "$guarantee" "$file"
    failed=1
    continue
  fi
  # Only the first occurrence is replaced.
  printf '%s' "${original%%"$text"*}$replacement${original#*"$text"}" >"$work/$file"
  if ! (cd "$work" && go vet "$package") >"$work/vet.log" 2>&1; then
    printf '%-62s DOES NOT COMPILE\n' "$guarantee"
    head -n 5 "$work/vet.log"
    failed=1
  elif (cd "$work" && go test -count=1 -timeout 120s -run "$tests" "$package") >"$work/test.log" 2>&1; then
    printf '%-62s SURVIVED\n' "$guarantee"
    failed=1
  else
    printf '%-62s refuted by %s\n' "$guarantee" "$(grep -oE '^ *--- FAIL: [A-Za-z0-9_]+|invariant [a-z0-9_]+ is broken' "$work/test.log" | head -n 1 | sed 's/^ *--- FAIL: //')"
  fi
  printf '%s' "$original" >"$work/$file"
done < <(grep -v '^#' scripts/mutants.txt)
exit "$failed"
