#!/usr/bin/env bash
# Runs a whole deployment on the loopback network for about 45 s and checks that nothing is lost, doubled or crossed.
#
# DEMO_HOLD=1 sends no load and keeps the deployment running until it is interrupted.
#
# Settings (environment): DEMO_MANIFEST (examples/quotes.yaml), DEMO_PORT (first of 1000 ports; choose another one for a second
# run at the same time), DEMO_RATE and DEMO_SECONDS (urgent requests), DEMO_JOBS and DEMO_TASKS (batch), DEMO_OUT (results), KEEP
# (keep the logs).
set -euo pipefail
cd "$(dirname "$0")/.."
. scripts/lib.sh

manifest=${DEMO_MANIFEST:-examples/quotes.yaml}
port=${DEMO_PORT:-17000}
rate=${DEMO_RATE:-150}
seconds=${DEMO_SECONDS:-15}
jobs=${DEMO_JOBS:-20}
tasks=${DEMO_TASKS:-10}
out=${DEMO_OUT:-out/demo}
entries=3

platform=127.0.0.1:$port
admin_port=$((port + 1))
gateway_http=$((port + 10)) gateway_link=$((port + 11))
scheduler_http=$((port + 20)) scheduler_link=$((port + 21))

new_work
say "building"
make --no-print-directory build

bin/clementine-load layout --manifest "$manifest" --port "$port" --conditions "$WORK/links.yaml" >"$WORK/layout.sh"
. "$WORK/layout.sh"
export "${!CLEMENTINE_WORKER_@}"
export CLEMENTINE_PLATFORM=http://$platform CLEMENTINE_PLATFORM_URL=http://$platform
export CLEMENTINE_KEYS=$WORK/keys CLEMENTINE_LINK_CONDITIONS=$WORK/links.yaml
count=${#DATA_CENTRES[@]}

say "creating keys for $entries gateways and $entries schedulers"
bin/clementinectl keys init --dir "$WORK/keys" >/dev/null
for ((i = 0; i < entries; i++)); do
  host=${ENTRY_HOSTS[i % count]}
  bin/clementinectl keys issue "gateway-$i" --dir "$WORK/keys" --role gateway --ip "$host" --validity 24h >/dev/null
  bin/clementinectl keys issue "scheduler-$i" --dir "$WORK/keys" --role scheduler --ip "$host" --validity 24h >/dev/null
done

say "starting the platform and the workers: $CLEMENTINE_WORKER_FLEET"
spawn platform bin/standin-platform --listen "$platform"
await_ready platform 127.0.0.1 "$port" 10
spawn workers bin/standin-worker --admin "127.0.0.1:$admin_port"
await_ready workers 127.0.0.1 "$admin_port" 10

say "starting $entries schedulers and $entries gateways"
gateways=()
for ((i = 0; i < entries; i++)); do
  # A data centre's second and later entry instances use other ports of the same address.
  shift_by=$((i / count * 100))
  host=${ENTRY_HOSTS[i % count]} centre=${DATA_CENTRES[i % count]}
  spawn "scheduler-$i" bin/clementine-scheduler --id "scheduler-$i" --data-centre "$centre" \
    --http-listen "$host:$((scheduler_http + shift_by))" --link-listen "$host:$((scheduler_link + shift_by))"
  spawn "gateway-$i" bin/clementine-gateway --id "gateway-$i" --data-centre "$centre" \
    --http-listen "$host:$((gateway_http + shift_by))" --link-listen "$host:$((gateway_link + shift_by))"
  gateways+=("http://$host:$((gateway_http + shift_by))")
done

# await_count PATTERN COUNT SECONDS COMMAND...: waits until the output of clementinectl COMMAND has COUNT lines with PATTERN.
await_count() {
  local pattern=$1 count=$2 deadline=$((SECONDS + $3)) found=0
  shift 3
  while ((SECONDS < deadline)); do
    found=$(bin/clementinectl "$@" -o json 2>/dev/null | grep -c "$pattern" || true)
    ((found >= count)) && return 0
    sleep 0.2
  done
  fail "clementinectl $* shows $found of $count lines with $pattern"
  return 1
}

# A process is listed about 2 s after its start; schedulers are listed once they have a manifest.
await_count '"role": "gateway"' "$entries" 15 instances
say "publishing $manifest"
bin/clementinectl publish "$manifest" --wait --operator demo >&2
await_count '"ready": true' $((2 * entries)) 15 instances

# Workers take work once the owner of their shard has fenced them, and gateways have slots with the next grant.
workers=0
for site in ${CLEMENTINE_WORKER_FLEET//,/ }; do
  size=${site#*=}
  workers=$((workers + ${size%%@*}))
done
sum_of() { bin/clementinectl shards -o json 2>/dev/null | awk -F: -v key="\"$1\"" '$1 ~ key { sum += $2 } END { print sum + 0 }'; }
deadline=$((SECONDS + 15))
until [[ $(sum_of fenced) == "$workers" && $(sum_of slots_granted) -gt 0 ]]; do
  if ((SECONDS >= deadline)); then
    fail "owners have not fenced all $workers workers after 15 s"
    exit 1
  fi
  sleep 0.2
done
bin/clementinectl shards >&2

if [[ -n ${DEMO_HOLD:-} ]]; then
  say "running until interrupted; export CLEMENTINE_PLATFORM=$CLEMENTINE_PLATFORM and use bin/clementinectl"
  say "gateways: ${gateways[*]}"
  while alive platform; do sleep 0.5; done
  fail "the platform ended"
  exit 1
fi

# busiest prints the worker with the most running tasks.
busiest() {
  http_get 127.0.0.1 "$admin_port" /admin/workers | grep -o '"id":"[^"]*"[^{}]*"tasks":[0-9]*' |
    sed 's/"id":"\([^"]*\)".*"tasks":\([0-9]*\)/\2 \1/' | sort -rn | head -n 1 | cut -d' ' -f2
}

say "sending load: $rate requests/s for $seconds s and $jobs jobs of $tasks tasks"
bin/clementine-load run --gateways "$(IFS=,; echo "${gateways[*]}")" --manifest "$manifest" --rate "$rate" --duration "${seconds}s" \
  --batch-jobs "$jobs" --tasks-per-job "$tasks" --batch-spread 5s --batch-wait 30s --standin "http://127.0.0.1:$admin_port" \
  --conditions "$WORK/links.yaml" --local "$CALLER_HOST" --out "$out" >"$WORK/table.txt" &
PIDS[load]=$!
sleep 5
worker=$(busiest)
if [[ -n $worker ]]; then
  say "draining worker $worker"
  bin/clementinectl drain "$worker" >&2 || fail "worker $worker could not be drained"
else
  fail "no worker runs a task 5 s after the start of the load"
fi
rc=0
wait "${PIDS[load]}" || rc=$?
unset "PIDS[load]"
cat "$WORK/table.txt"
((rc == 0)) || fail "the load generator ended with exit code $rc"

# figure NAME: prints a number of the batch part of the result.
figure() { sed -n "s/^ *\"$1\": \([0-9]*\),*$/\1/p" "$out/result.json" | tail -n 1; }
done=$(figure done) evicted=$(figure evicted) resumed=$(figure resumed)
((done == jobs * tasks)) || fail "$done of $((jobs * tasks)) tasks were done"
((resumed == evicted)) || fail "$resumed of $evicted evicted tasks were resumed"
((evicted > 0)) || say "note: the drained worker had no task left to evict"

say "stopping gateways, schedulers, workers and the platform"
for ((i = 0; i < entries; i++)); do fronts+=("gateway-$i") owners+=("scheduler-$i"); done
stop "${fronts[@]}"
stop "${owners[@]}"
# Without owners the leases of the workers lapse, which ends the tasks of services.
stop workers
stop platform
if grep -l 'assertion is broken' "$WORK"/logs/*.log >&2; then fail "an invariant was broken"; fi
((FAILED == 0)) && say "passed; results are in $out" || say "failed"
exit $FAILED
