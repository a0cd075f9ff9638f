#!/usr/bin/env bash
# Measures the resource use of each process at several sizes along each axis and prints the tables of docs/CAPACITY.md.
#
# Environment variables: AXES (default: workers tasks starts teams gateways schedulers shards requests changes direct),
# CAPACITY_PORT (first of 1000 ports), CAPACITY_OUT (directory of the samples), CAPACITY_PAGE (page to update, none if
# empty), CAPACITY_WARM (seconds of warm-up before a measurement), CAPACITY_INTERVAL (seconds of each of its two
# halves), KEEP (keeps the logs).
#
# Each run varies one axis. The others have the reference sizes of internal/capacity/target.go: 16 workers in one shard,
# no tasks, 10 teams, one gateway, two schedulers (an owner and a standby), no requests.
set -Eeuo pipefail
cd "$(dirname "$0")/.."
. scripts/lib.sh

AXES=${AXES:-workers tasks starts teams gateways schedulers shards requests changes direct}
port=${CAPACITY_PORT:-20000}
out=${CAPACITY_OUT:-out/capacity}
page=${CAPACITY_PAGE-docs/CAPACITY.md}
warm=${CAPACITY_WARM:-3}
interval=${CAPACITY_INTERVAL:-5}
seed=1

PER_RACK=2
host=127.10.1.1
platform=127.0.0.1:$port
admin=127.0.0.1:$((port + 1))

# manifest WORKERS RACKS_PER_SHARD TEAMS VARIANT: prints a manifest. VARIANT is a digit of a price, so that variants
# differ in one number.
manifest() {
  local n
  cat <<YAML
deployment: capacity
currency: EUR
racks_per_shard: $2
data_centres:
  - {name: east, region: north, workers: $1}
links: {between_data_centres: 5ms, to_callers: 1ms}
worker: {slots: 8, connections: 64, per_rack: $PER_RACK, capacity: {cores: 64, memory_gb: 250}}
prices: {core_hour: 0.06$4, memory_gb_hour: 0.008}
teams:
YAML
  for ((n = 0; n < $3; n++)); do
    echo "  - {name: team-$n, quota: {cores: 100000, memory_gb: 100000}, daily_spending: 100000.00}"
  done
  cat <<YAML
kinds:
  - {name: ask, team: team-0, class: request, urgency: interactive, size: {cores: 1, memory_gb: 1}, run_time: 5ms,
     deadline: 5s, idempotent: true, spending: 0.01}
  - {name: long, team: team-0, class: batch, urgency: standard, size: {cores: 0.1, memory_gb: 0.1}, run_time: 1h, deadline: 24h,
     spending: 1.00, checkpoint_every: 10s, max_attempts: 8}
  - {name: short, team: team-0, class: batch, urgency: standard, size: {cores: 0.1, memory_gb: 0.1}, run_time: 1s, deadline: 1h,
     spending: 1.00, checkpoint_every: 10s, max_attempts: 8}
YAML
}

# deploy WORKERS SHARDS TEAMS GATEWAYS SCHEDULERS: starts a deployment and waits until it is ready.
deploy() {
  local workers=$1 teams=$3 racks=$(($1 / PER_RACK / $2)) i n
  gateways=$4 schedulers=$5
  manifest "$workers" "$racks" "$teams" 1 >"$WORK/a.yaml"
  manifest "$workers" "$racks" "$teams" 2 >"$WORK/b.yaml"
  bin/clementine-load layout --manifest "$WORK/a.yaml" --port "$port" --conditions "$WORK/unused.yaml" >"$WORK/layout.sh"
  . "$WORK/layout.sh"
  export "${!CLEMENTINE_WORKER_@}"
  export CLEMENTINE_WORKER_VARIATION=0 CLEMENTINE_WORKER_INTERFERENCE=0 CLEMENTINE_WORKER_SEED=$seed
  spawn platform bin/standin-platform --listen "$platform" --seed "$seed"
  await_ready platform 127.0.0.1 "$port" 10
  spawn workers bin/standin-worker --admin "$admin"
  await_ready workers 127.0.0.1 $((port + 1)) 10
  processes=(--process "platform=http://$platform" --process "workers=http://$admin")
  for ((i = 0; i < schedulers; i++)); do
    n=$((port + 500 + 2 * i))
    spawn "scheduler-$i" bin/clementine-scheduler --id "scheduler-$i" --data-centre east --http-listen "$host:$n" --link-listen "$host:$((n + 1))"
    processes+=(--process "scheduler=http://$host:$n")
  done
  for ((i = 0; i < gateways; i++)); do
    n=$((port + 600 + 2 * i))
    spawn "gateway-$i" bin/clementine-gateway --id "gateway-$i" --data-centre east --http-listen "$host:$n" --link-listen "$host:$((n + 1))"
    processes+=(--process "gateway=http://$host:$n")
  done
  settle
}

# settle publishes the manifest once all instances are listed, and waits until the gateways are ready and the owners
# have fenced all workers.
settle() {
  local n i seen=0
  for ((n = 0; n < 100 && seen < gateways + schedulers; n++)); do
    sleep 0.2
    seen=$(bin/clementinectl instances -o json 2>/dev/null | grep -c '"id"' || true)
  done
  bin/clementinectl publish "$WORK/a.yaml" --wait --operator capacity >>"$WORK/logs/ctl.log" 2>&1 || fail "the manifest was not published"
  for ((i = 0; i < gateways; i++)); do await_ready "gateway-$i" "$host" $((port + 600 + 2 * i)) 20; done
  for ((n = 0; n < 100; n++)); do
    (($(total clementine_scheduler_fenced_workers) == $(grep -o 'workers: [0-9]*' "$WORK/a.yaml" | cut -d' ' -f2))) && return
    sleep 0.2
  done
  fail "the owners did not fence all workers within 20 s"
}

# metric PORT NAME: prints the sum over all series of a metric of one process, as an integer.
metric() { { http_get "$host" "$1" /metrics 2>/dev/null || true; } | awk -v name="$2" 'index($1, name) == 1 {s += $2} END {printf "%d\n", s}'; }

# total NAME: prints the sum of a metric over all running schedulers.
total() {
  local i sum=0
  for ((i = 0; i < schedulers; i++)); do sum=$((sum + $(metric $((port + 500 + 2 * i)) "$1"))); done
  echo $sum
}

# undeploy kills all processes, to save the time of a graceful shutdown, which scripts/demo.sh checks.
undeploy() {
  local name
  for name in "${!PIDS[@]}"; do kill -KILL "${PIDS[$name]}" 2>/dev/null || true; done
  for name in "${!PIDS[@]}"; do
    wait "${PIDS[$name]}" 2>/dev/null || true
    unset "PIDS[$name]"
  done
}

# measure AXIS SIZE [--measured]: takes a sample of all processes after the warm-up.
measure() {
  sleep "$warm"
  bin/clementine-load sample --axis "$1" --size "$2" "${@:3}" "${processes[@]}" --interval "${interval}s" --to "$WORK/sample.jsonl" 2>>"$WORK/logs/sample.log"
  cat "$WORK/sample.jsonl" >>"$out/$1.jsonl"
  rm "$WORK/sample.jsonl"
  say "axis $1: size $2 measured"
}

# also_reference AXIS SIZE: records the measurement as one of the reference sizes as well.
also_reference() { sed -n "/\"axis\":\"$1\",\"size\":$2,/s/\"axis\":\"$1\",\"size\":$2,/\"axis\":\"reference\",\"size\":0,/p" "$out/$1.jsonl" >>"$out/reference.jsonl"; }

# end_load stops the load generator before the end of its run; its report is not used.
end_load() {
  kill -TERM "${PIDS[load]}" 2>/dev/null || true
  wait "${PIDS[load]}" 2>/dev/null || true
  unset "PIDS[load]"
}

load() { spawn load bin/clementine-load run --gateways "http://$host:$((port + 600))" --manifest "$WORK/a.yaml" --seed "$seed" --plots none --out "$WORK/load" "$@"; }

axis_workers() {
  local n
  for n in 16 64 128 256; do
    deploy "$n" 1 10 1 2
    measure workers "$n"
    ((n == 16)) && also_reference workers 16
    undeploy
  done
}

axis_teams() {
  local n
  for n in 10 50 200; do
    deploy 16 1 "$n" 1 2
    measure teams "$n"
    ((n == 10)) && also_reference teams 10
    undeploy
  done
}

axis_gateways() {
  local n
  for n in 1 2 4 8; do
    deploy 16 1 10 "$n" 2
    measure gateways "$n"
    ((n == 1)) && also_reference gateways 1
    undeploy
  done
}

axis_schedulers() {
  local n
  for n in 2 4 8; do
    deploy 16 1 10 1 "$n"
    measure schedulers "$n"
    ((n == 2)) && also_reference schedulers 2
    undeploy
  done
}

# With only one scheduler, all shards have the same owner.
axis_shards() {
  local n
  for n in 1 2 4 8; do
    deploy 16 "$n" 10 1 1
    measure shards "$n"
    undeploy
  done
}

axis_tasks() {
  local running=0 n
  deploy 16 1 10 1 2
  measure tasks 0 --measured
  for n in 250 500 1000 2000; do
    bin/clementinectl submit long --tasks $((n - running)) >>"$WORK/logs/ctl.log" 2>&1
    running=$n
    for ((i = 0; i < 150 && $(total clementine_scheduler_starts_total) < n; i++)); do sleep 0.2; done
    measure tasks "$n" --measured
  done
  undeploy
}

# submit_every PAUSE: submits jobs of 10 short tasks until it is killed. The load generator is not used, because it
# polls the state of each job.
submit_every() {
  while :; do
    bin/clementinectl submit short --tasks 10 --gateway "http://$host:$((port + 600))" || true
    sleep "$1"
  done
}

axis_starts() {
  local pause
  deploy 16 1 10 1 2
  measure starts 0 --measured
  for pause in 2 1 0.5 0.2; do
    spawn load submit_every "$pause"
    measure starts "$pause" --measured
    end_load
  done
  undeploy
}

axis_requests() {
  local n seconds=$((warm + 2 * interval + 3))
  deploy 16 1 10 1 2
  measure requests 0 --measured
  for n in 100 200 400 800; do
    load --rate "$n" --duration "${seconds}s"
    measure requests "$n" --measured
    end_load
  done
  undeploy
}

# publish_every PAUSE: publishes the two variants alternately until it is killed.
publish_every() {
  while :; do
    bin/clementinectl publish "$WORK/b.yaml" --operator capacity || true
    sleep "$1"
    bin/clementinectl publish "$WORK/a.yaml" --operator capacity || true
    sleep "$1"
  done
}

# The size is the nominal rate of publications, 1 / pause. The rate that was reached is not measured.
axis_changes() {
  local pause before after
  deploy 16 1 10 1 2
  measure changes 0
  for pause in 5 2 1; do
    spawn load publish_every "$pause"
    measure changes "$(awk "BEGIN {print 1 / $pause}")"
    end_load
  done
  undeploy
}

direct() { echo "{\"axis\":\"reference\",\"size\":0,\"role\":\"$1\",\"metric\":\"$2\",\"value\":$3}" >>"$out/direct.jsonl"; }

# elapsed SINCE: prints the seconds since SINCE, a value of EPOCHREALTIME.
elapsed() { awk -v a="$1" -v b="$EPOCHREALTIME" 'BEGIN {printf "%.3f", b - a}'; }

axis_direct() {
  local n from owner other text=(b a) TIMEFORMAT='%U %S'
  deploy 64 4 50 4 3
  for ((n = 0; n < 10; n++)); do
    from=$EPOCHREALTIME
    bin/clementinectl publish "$WORK/${text[n % 2]}.yaml" --wait --operator capacity >>"$WORK/logs/ctl.log" 2>&1 || fail "publication $n did not succeed"
    direct run in-force "$(elapsed "$from")"
  done
  for ((n = 0; n < 5; n++)); do
    { time bin/clementinectl jobs >>"$WORK/logs/ctl.log" 2>&1 || true; } 2>"$WORK/time"
    direct clementinectl call-cpu "$(awk '{print $1 + $2}' "$WORK/time")"
  done
  undeploy
  for ((n = 0; n < 3; n++)); do takeover; done
}

# takeover kills the only owner under a load of short tasks and measures the time until its successor starts a task.
takeover() {
  local i from owner=0 successor=1
  deploy 16 1 10 1 2
  (($(metric $((port + 500)) clementine_scheduler_fenced_workers) > 0)) || { owner=1 successor=0; }
  spawn load submit_every 0.5
  sleep 4
  from=$EPOCHREALTIME
  kill -KILL "${PIDS[scheduler-$owner]}"
  for ((i = 0; i < 600; i++)); do
    (($(metric $((port + 500 + 2 * successor)) clementine_scheduler_starts_total) > 0)) && break
    sleep 0.05
  done
  if ((i < 600)); then direct run takeover "$(elapsed "$from")"; else fail "no successor started a task within 30 s"; fi
  undeploy
}

new_work
trap 'say "line $LINENO failed: $BASH_COMMAND"' ERR
say "building"
make --no-print-directory build
mkdir -p "$out"
export CLEMENTINE_PLATFORM=http://$platform CLEMENTINE_PLATFORM_URL=http://$platform CLEMENTINE_KEYS=$WORK/keys
bin/clementinectl keys init --dir "$WORK/keys" >/dev/null
for ((i = 0; i < 8; i++)); do
  bin/clementinectl keys issue "gateway-$i" --dir "$WORK/keys" --role gateway --ip "$host" --validity 24h >/dev/null
  bin/clementinectl keys issue "scheduler-$i" --dir "$WORK/keys" --role scheduler --ip "$host" --validity 24h >/dev/null
done
for axis in $AXES; do
  rm -f "$out/$axis.jsonl"
  [[ $axis == workers ]] && rm -f "$out/reference.jsonl"
  "axis_$axis"
done
bin/clementine-load capacity-report "$out" ${page:+--page "$page"} >"$out/tables.md"
if grep -l 'assertion is broken' "$WORK"/logs/*.log >&2; then fail "an invariant was violated"; fi
((FAILED == 0)) && say "measured; tables are in $out/tables.md" || say "failed"
exit $FAILED
