# Common functions of the scripts that start processes. Source it with set -euo pipefail in force.
# Every process is started by spawn, and stopped by its id with stop or, at the latest, by clean_up.

# quic-go asks for a receive buffer of 7 MB, which systems rarely permit and control traffic does not need.
export QUIC_GO_DISABLE_RECEIVE_BUFFER_WARNING=true

# The longest a planned stop may take before the process is killed and the run fails.
STOP_LIMIT=${STOP_LIMIT:-30}

declare -A PIDS=()
FAILED=0
STARTED_AT=$SECONDS

say() { printf '[%3ds] %s\n' $((SECONDS - STARTED_AT)) "$*" >&2; }

fail() {
  say "FAILED: $*"
  FAILED=1
}

# new_work sets WORK to a new temporary directory, which clean_up removes unless the run failed or KEEP is set.
new_work() {
  WORK=$(mktemp -d "${TMPDIR:-/tmp}/clementine.XXXXXX")
  mkdir -p "$WORK/logs"
  trap clean_up EXIT
  trap 'exit 130' INT
  trap 'exit 143' TERM
}

# spawn NAME COMMAND...: starts a process in the background with its log in $WORK/logs/NAME.log.
spawn() {
  local name=$1
  shift
  "$@" >"$WORK/logs/$name.log" 2>&1 &
  PIDS[$name]=$!
}

alive() { [[ -n ${PIDS[$1]:-} ]] && kill -0 "${PIDS[$1]}" 2>/dev/null; }

# log_of NAME: prints the end of a process's log.
log_of() {
  echo "--- end of the log of $1 ---" >&2
  tail -n 20 "$WORK/logs/$1.log" >&2 || true
}

# stop NAME...: asks processes to stop, waits for all of them, and requires the exit code 0.
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
      fail "$name ended with exit code $rc"
      log_of "$name"
    fi
  done
}

# clean_up ends what still runs, whatever happened.
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

# http_get HOST PORT PATH: prints the answer to a GET request with its status line, or fails.
http_get() {
  local fd line rc
  { exec {fd}<>"/dev/tcp/$1/$2"; } 2>/dev/null || return 1
  printf 'GET %s HTTP/1.0\r\nHost: %s\r\n\r\n' "$3" "$1" >&"$fd"
  # A process that took the port but does not speak HTTP must not hold up the script.
  while :; do
    rc=0
    IFS= read -r -t 2 line <&"$fd" || rc=$?
    [[ $rc != 0 && -z $line ]] || printf '%s\n' "$line"
    ((rc == 0)) || break
  done
  exec {fd}>&-
}

# await_ready NAME HOST PORT SECONDS: waits until /readyz of a process answers 200, and fails if the process ends before.
await_ready() {
  local deadline=$((SECONDS + $4))
  while ((SECONDS < deadline)); do
    if ! alive "$1"; then
      log_of "$1"
      fail "$1 ended before it was ready"
      return 1
    fi
    if [[ $(http_get "$2" "$3" /readyz 2>/dev/null | head -n 1) == *" 200 "* ]]; then
      # Another process can answer on a port that this one failed to take and is about to give up.
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
