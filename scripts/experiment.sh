#!/usr/bin/env bash
# Starts a deployment on the loopback network, runs one experiment of examples/experiments on it, and stops it.
#
# Environment variables: EXP (name of the experiment, or a path that ends with .yaml), EXPERIMENT_PORT (first of 1000
# ports; concurrent runs need different ones), EXPERIMENT_REPEATS and EXPERIMENT_LONGEST (limits for shorter runs, for
# CI), EXPERIMENT_OUT (directory of the results), GATEWAYS (number of gateways and of schedulers), KEEP (keeps the
# logs).
set -euo pipefail
cd "$(dirname "$0")/.."
. scripts/lib.sh

exp=${EXP:?EXP must name an experiment of examples/experiments}
file=$exp
[[ $exp == *.yaml ]] || file=examples/experiments/$exp.yaml
port=${EXPERIMENT_PORT:-24000}
out=${EXPERIMENT_OUT:-out/experiments}
entries=${GATEWAYS:-3}

new_work
make --no-print-directory build

bin/clementine-load experiment "$file" --settings >"$WORK/settings.sh"
. "$WORK/settings.sh"
start_deployment "$EXPERIMENT_MANIFEST" "$port" "$entries"

# Instances appear in the instance list a few seconds after their start. The publications of the experiment wait for all
# listed instances.
await_count '"role": "gateway"' "$entries" 20 instances
bin/clementinectl publish "$EXPERIMENT_MANIFEST" --wait --operator experiment >&2
await_count '"ready": true' $((2 * entries)) 20 instances
# All workers are fenced and their slots are granted within two grant intervals.
sleep 3
bin/clementinectl shards >&2

say "running $file"
options=()
[[ -z ${EXPERIMENT_REPEATS:-} ]] || options+=(--repeats "$EXPERIMENT_REPEATS")
[[ -z ${EXPERIMENT_LONGEST:-} ]] || options+=(--longest "$EXPERIMENT_LONGEST")
rc=0
bin/clementine-load experiment "$file" --gateways "$(IFS=,; echo "${gateways[*]}")" --standin "http://127.0.0.1:$admin_port" \
  --conditions "$WORK/links.yaml" --local "$CALLER_HOST" --out "$out" "${options[@]}" || rc=$?
((rc == 0)) || fail "the experiment exited with code $rc"

stop_deployment
exit $FAILED
