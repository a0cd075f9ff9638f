# Common functions of the scripts that start processes. The script that sources it must use set -euo pipefail.
# Every process is started by spawn and stopped by its id, by stop or at the latest by clean_up.

# quic-go requests a receive buffer of 7 MB, which most systems do not permit and control traffic does not need.
export QUIC_GO_DISABLE_RECEIVE_BUFFER_WARNING=true

# Seconds that a graceful shutdown may take. After that the process is killed and the run fails.
STOP_LIMIT=${STOP_LIMIT:-30}

declare -A PIDS=()
FAILED=0
STARTED_AT=$SECONDS

say() { printf '[%3ds] %s\n' $((SECONDS - STARTED_AT)) "$*" >&2; }

fail() {
  say "FAILED: $*"
  FAILED=1
}

# new_work sets WORK to a new temporary directory. clean_up removes it unless the run failed or KEEP is set.
new_work() {
  WORK=$(mktemp -d "${TMPDIR:-/tmp}/clementine.XXXXXX")
  mkdir -p "$WORK/logs"
  trap clean_up EXIT
  trap 'exit 130' INT
  trap 'exit 143' TERM
}

# spawn NAME COMMAND...: starts a process in the background. Its output goes to $WORK/logs/NAME.log.
spawn() {
  local name=$1
  shift
  "$@" >"$WORK/logs/$name.log" 2>&1 &
  PIDS[$name]=$!
}

alive() { [[ -n ${PIDS[$1]:-} ]] && kill -0 "${PIDS[$1]}" 2>/dev/null; }

# log_of NAME: prints the last 20 lines of the log of a process.
log_of() {
  echo "--- end of the log of $1 ---" >&2
  tail -n 20 "$WORK/logs/$1.log" >&2 || true
}

# stop NAME...: sends SIGTERM to processes, waits for all of them, and requires exit code 0.
stop() {
  local name pid rc deadline=$((SECONDS + STOP_LIMIT))
  for name in "$@"; do
    pid=${PIDS[$name]:-}
    [[ -z $pid ]] || kill -TERM "$pid" 2>/dev/null || true
  done
  for name in "$@"; do
    pid=${PIDS[$name]:-}
    [[ -n $pid ]] || continue
    while kill -0 "$pid" 2>/dev/null && ((SECONDS < deadline)); do sleep 0.1; done
    if kill -0 "$pid" 2>/dev/null; then
      fail "$name did not stop within $STOP_LIMIT s"
      kill -KILL "$pid" 2>/dev/null || true
    fi
    rc=0
    wait "$pid" || rc=$?
    unset "PIDS[$name]"
    if ((rc != 0)); then
      fail "$name exited with code $rc"
      log_of "$name"
    fi
  done
}

# clean_up stops all processes that still run, after success, failure and interruption.
clean_up() {
  local rc=$? name
  trap - EXIT INT TERM
  for name in "${!PIDS[@]}"; do kill -TERM "${PIDS[$name]}" 2>/dev/null || true; done
  local deadline=$((SECONDS + 10))
  for name in "${!PIDS[@]}"; do
    while kill -0 "${PIDS[$name]}" 2>/dev/null && ((SECONDS < deadline)); do sleep 0.1; done
    kill -KILL "${PIDS[$name]}" 2>/dev/null || true
    wait "${PIDS[$name]}" 2>/dev/null || true
  done
  if ((rc != 0 || FAILED != 0)) || [[ -n ${KEEP:-} ]]; then
    say "logs are in $WORK/logs"
  else
    rm -rf "$WORK"
  fi
  exit "$rc"
}

# http_get HOST PORT PATH: prints the response to a GET request, including the status line. It fails if it cannot
# connect.
http_get() {
  local fd line rc
  { exec {fd}<>"/dev/tcp/$1/$2"; } 2>/dev/null || return 1
  printf 'GET %s HTTP/1.0\r\nHost: %s\r\n\r\n' "$3" "$1" >&"$fd"
  # The time-out keeps a process that listens on the port but does not speak HTTP from blocking the script.
  while :; do
    rc=0
    IFS= read -r -t 2 line <&"$fd" || rc=$?
    [[ $rc != 0 && -z $line ]] || printf '%s\n' "$line"
    ((rc == 0)) || break
  done
  exec {fd}>&-
}

# await_ready NAME HOST PORT SECONDS: waits until /readyz of a process answers 200. It fails if the process exits
# before.
await_ready() {
  local deadline=$((SECONDS + $4))
  while ((SECONDS < deadline)); do
    if ! alive "$1"; then
      log_of "$1"
      fail "$1 exited before it was ready"
      return 1
    fi
    if [[ $(http_get "$2" "$3" /readyz 2>/dev/null | head -n 1) == *" 200 "* ]]; then
      # The answer can come from another process that holds the port; this one then exits shortly.
      sleep 0.2
      alive "$1" && return 0
      continue
    fi
    sleep 0.1
  done
  log_of "$1"
  fail "$1 was not ready within $4 s"
  return 1
}

# start_deployment MANIFEST PORT ENTRIES: starts the platform, the workers of the manifest, and ENTRIES schedulers and
# gateways, each with an address in the network of its data centre. It sets gateways (URLs), admin_port (of the
# workers), and fronts and owners (the names of the gateway and scheduler processes for stop_deployment).
start_deployment() {
  local manifest=$1 port=$2 entries=$3 i host centre base count platform=127.0.0.1:$2
  admin_port=$((port + 1)) gateways=() fronts=() owners=()
  bin/clementine-load layout --manifest "$manifest" --port "$port" --conditions "$WORK/links.yaml" >"$WORK/layout.sh"
  . "$WORK/layout.sh"
  export "${!CLEMENTINE_WORKER_@}"
  export CLEMENTINE_PLATFORM=http://$platform CLEMENTINE_PLATFORM_URL=http://$platform
  export CLEMENTINE_KEYS=$WORK/keys CLEMENTINE_LINK_CONDITIONS=$WORK/links.yaml
  count=${#DATA_CENTRES[@]}

  say "creating certificates for $entries gateways and $entries schedulers"
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
  for ((i = 0; i < entries; i++)); do
    # The second and later entry instances of a data centre use other ports of the same address.
    base=$((port + 10 + i / count * 100))
    host=${ENTRY_HOSTS[i % count]} centre=${DATA_CENTRES[i % count]}
    spawn "scheduler-$i" bin/clementine-scheduler --id "scheduler-$i" --data-centre "$centre" \
      --http-listen "$host:$((base + 10))" --link-listen "$host:$((base + 11))"
    spawn "gateway-$i" bin/clementine-gateway --id "gateway-$i" --data-centre "$centre" \
      --http-listen "$host:$base" --link-listen "$host:$((base + 1))"
    gateways+=("http://$host:$base") fronts+=("gateway-$i") owners+=("scheduler-$i")
  done
}

# stop_deployment stops the processes of start_deployment, gateways first, and checks the logs for violated invariants.
stop_deployment() {
  say "stopping gateways, schedulers, workers and the platform"
  stop "${fronts[@]}"
  stop "${owners[@]}"
  # Without owners the leases of the workers expire, which stops the tasks of services.
  stop workers
  stop platform
  if grep -l 'assertion is broken' "$WORK"/logs/*.log >&2; then fail "an invariant was violated"; fi
}

# await_count PATTERN COUNT SECONDS COMMAND...: waits until the output of clementinectl COMMAND has COUNT lines with
# PATTERN.
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
