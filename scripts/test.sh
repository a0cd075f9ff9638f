#!/usr/bin/env bash
# Runs all tests with the race detector. A package that fails exactly as an entry of KNOWN-RED.txt describes is printed
# and ignored; any other failure fails the run.
set -uo pipefail
cd "$(dirname "$0")/.."
out=$(mktemp)
trap 'rm -f "$out"' EXIT
"${GO:-go}" test -race -count=1 ./... 2>&1 | tee "$out"
status=${PIPESTATUS[0]}
[[ $status -eq 0 ]] && exit 0
awk -f scripts/known-red.awk KNOWN-RED.txt "$out"
