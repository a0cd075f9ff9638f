#!/usr/bin/env bash
# Runs a complete deployment on the loopback network for about 45 s and checks that no request or task is lost, run
# twice or answered with the result of another.
#
# DEMO_HOLD=1 sends no load and keeps the deployment running until it is interrupted.
#
# Environment variables: DEMO_MANIFEST (default examples/quotes.yaml), DEMO_PORT (first of 1000 ports; concurrent runs
# need different ones), DEMO_RATE and DEMO_SECONDS (requests per second, duration), DEMO_JOBS and DEMO_TASKS (batch
# jobs, tasks per job), DEMO_OUT (directory of the results), KEEP (keeps the logs).
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

new_work
say "building"
make --no-print-directory build

start_deployment "$manifest" "$port" "$entries"

# A process appears in the instance list about 2 s after its start. Schedulers appear only once a manifest is in force.
await_count '"role": "gateway"' "$entries" 15 instances
say "publishing $manifest"
bin/clementinectl publish "$manifest" --wait --operator demo >&2
await_count '"ready": true' $((2 * entries)) 15 instances

# A worker takes work only after the owner of its shard has fenced it, and gateways get its slots with the next grant.
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
  fail "the platform process exited"
  exit 1
fi

# busiest prints the id of the worker with the most running tasks.
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
  fail "no worker runs a task 5 s after the load was started"
fi
rc=0
wait "${PIDS[load]}" || rc=$?
unset "PIDS[load]"
cat "$WORK/table.txt"
((rc == 0)) || fail "the load generator exited with code $rc"

# figure NAME: prints the value of a field of the batch section of the result.
figure() { sed -n "s/^ *\"$1\": \([0-9]*\),*$/\1/p" "$out/result.json" | tail -n 1; }
done=$(figure done) evicted=$(figure evicted) resumed=$(figure resumed)
((done == jobs * tasks)) || fail "$done of $((jobs * tasks)) tasks were done"
((resumed == evicted)) || fail "$resumed of $evicted evicted tasks were resumed"
((evicted > 0)) || say "note: the drained worker had no task left to evict"

stop_deployment
((FAILED == 0)) && say "passed; results are in $out" || say "failed"
exit $FAILED
