#!/usr/bin/env bash
# Starts a deployment on the loopback network, runs one experiment of examples/experiments on it, and stops everything.
#
# Settings (environment): EXP (name of the experiment, or a path ending with .yaml), EXPERIMENT_PORT (first of 1000 ports; choose another one for a second run at the
# same time), EXPERIMENT_REPEATS and EXPERIMENT_LONGEST (smaller runs, for CI), EXPERIMENT_OUT (results), GATEWAYS (number of gateways and of
# schedulers), KEEP (keep the logs).
set -euo pipefail
cd "$(dirname "$0")/.."
. scripts/lib.sh

exp=${EXP:?EXP must name an experiment of examples/experiments}
file=$exp
[[ $exp == *.yaml ]] || file=examples/experiments/$exp.yaml
port=${EXPERIMENT_PORT:-24000}
out=${EXPERIMENT_OUT:-out/experiments}
entries=${GATEWAYS:-3}
platform=127.0.0.1:$port
admin_port=$((port + 1))

new_work
make --no-print-directory build

bin/clementine-load experiment "$file" --settings >"$WORK/settings.sh"
. "$WORK/settings.sh"
bin/clementine-load layout --manifest "$EXPERIMENT_MANIFEST" --port "$port" --conditions "$WORK/links.yaml" >"$WORK/layout.sh"
. "$WORK/layout.sh"
export "${!CLEMENTINE_WORKER_@}"
export CLEMENTINE_PLATFORM=http://$platform CLEMENTINE_PLATFORM_URL=http://$platform
export CLEMENTINE_KEYS=$WORK/keys CLEMENTINE_LINK_CONDITIONS=$WORK/links.yaml
count=${#DATA_CENTRES[@]}

bin/clementinectl keys init --dir "$WORK/keys" >/dev/null
for ((i = 0; i < entries; i++)); do
  for role in gateway scheduler; do
    bin/clementinectl keys issue "$role-$i" --dir "$WORK/keys" --role $role --ip "${ENTRY_HOSTS[i % count]}" --validity 24h >/dev/null
  done
done

say "starting the platform and the workers: $CLEMENTINE_WORKER_FLEET"
spawn platform bin/standin-platform --listen "$platform"
await_ready platform 127.0.0.1 "$port" 10
spawn workers bin/standin-worker --admin "127.0.0.1:$admin_port"
await_ready workers 127.0.0.1 "$admin_port" 10

say "starting $entries schedulers and $entries gateways"
gateways=()
for ((i = 0; i < entries; i++)); do
  base=$((port + 10 + i / count * 100))
  host=${ENTRY_HOSTS[i % count]} centre=${DATA_CENTRES[i % count]}
  spawn "scheduler-$i" bin/clementine-scheduler --id "scheduler-$i" --data-centre "$centre" \
    --http-listen "$host:$((base + 10))" --link-listen "$host:$((base + 11))"
  spawn "gateway-$i" bin/clementine-gateway --id "gateway-$i" --data-centre "$centre" \
    --http-listen "$host:$base" --link-listen "$host:$((base + 1))"
  gateways+=("http://$host:$base")
done

# Instances are listed a few seconds after their start; the experiment's own publications then wait for all of them.
await_output() {
  local pattern=$1 wanted=$2 deadline=$((SECONDS + 20)) found=0
  shift 2
  while ((SECONDS < deadline)); do
    found=$(bin/clementinectl "$@" -o json 2>/dev/null | grep -c "$pattern" || true)
    ((found >= wanted)) && return 0
    sleep 0.2
  done
  fail "clementinectl $* shows $found of $wanted lines with $pattern"
  return 1
}
await_output '"role": "gateway"' "$entries" instances
bin/clementinectl publish "$EXPERIMENT_MANIFEST" --wait --operator experiment >&2
await_output '"ready": true' $((2 * entries)) instances
# Every worker is fenced and its slots are granted within two rounds of grants.
sleep 3
bin/clementinectl shards >&2

say "running $file"
options=()
[[ -z ${EXPERIMENT_REPEATS:-} ]] || options+=(--repeats "$EXPERIMENT_REPEATS")
[[ -z ${EXPERIMENT_LONGEST:-} ]] || options+=(--longest "$EXPERIMENT_LONGEST")
rc=0
bin/clementine-load experiment "$file" --gateways "$(IFS=,; echo "${gateways[*]}")" --standin "http://127.0.0.1:$admin_port" \
  --conditions "$WORK/links.yaml" --local "$CALLER_HOST" --out "$out" "${options[@]}" || rc=$?
((rc == 0)) || fail "the experiment ended with exit code $rc"

say "stopping"
for ((i = 0; i < entries; i++)); do fronts+=("gateway-$i") owners+=("scheduler-$i"); done
stop "${fronts[@]}"
stop "${owners[@]}"
stop workers
stop platform
if grep -l 'assertion is broken' "$WORK"/logs/*.log >&2; then fail "an invariant was broken"; fi
exit $FAILED
