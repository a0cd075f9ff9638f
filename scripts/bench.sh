#!/usr/bin/env bash
# Benchmarks routing and placement with increasing numbers of workers. It prints the median of COUNT runs and the growth
# from the previous size, and fails if a target is missed: a routing decision takes less than 1 microsecond without
# allocation, the placements of one second (70 of 14,200 tasks on 500 workers) take less than 2% of a core, and the time
# of routing and placement grows at most as n log n.
set -euo pipefail
cd "$(dirname "$0")/.."
count=${COUNT:-5}
{
  go test -run '^$' -bench '^BenchmarkChoose$' -benchmem -count "$count" ./internal/routing
  go test -run '^$' -bench '^Benchmark(Place|Second)$' -benchmem -benchtime 0.3s -count "$count" ./internal/placement
} | tee /dev/stderr | awk '
  # The input lines are: BenchmarkName/policy/size-procs iterations ns "ns/op" bytes "B/op" allocations "allocs/op".
  /^Benchmark/ {
    split($1, part, "/")
    name = substr(part[1], 10) " " part[2]
    size = part[3]
    sub(/-[0-9]+$/, "", size)
    if (!((name, size) in runs)) {
      if (!(name in sizes)) names[++n] = name
      sizes[name] = sizes[name] " " size
    }
    i = ++runs[name, size]
    ns[name, size, i] = $3
    bytes[name, size] = $5
    allocs[name, size] = $7
  }
  function median(name, size,   m, i, j, t, v) {
    m = runs[name, size]
    for (i = 1; i <= m; i++) v[i] = ns[name, size, i] + 0
    for (i = 1; i <= m; i++) for (j = i + 1; j <= m; j++) if (v[j] < v[i]) { t = v[i]; v[i] = v[j]; v[j] = t }
    return m % 2 ? v[(m + 1) / 2] : (v[m / 2] + v[m / 2 + 1]) / 2
  }
  function verdict(ok) { if (!ok) missed++; return ok ? "ok" : "MISSED" }
  END {
    printf "%-22s %7s %12s %10s %10s %8s %8s  %s\n", "DECISION", "WORKERS", "NS/OP", "B/OP", "ALLOCS/OP", "GROWTH", "N LOG N", "TARGET"
    for (k = 1; k <= n; k++) {
      name = names[k]
      many = split(sizes[name], at, " ")
      last = 0
      for (s = 1; s <= many; s++) {
        now = median(name, at[s])
        growth = bound = "-"
        target = ""
        if (last > 0) {
          growth = sprintf("%.1f", now / last)
          bound = sprintf("%.1f", at[s] * log(at[s]) / (at[s - 1] * log(at[s - 1])))
          target = verdict(growth + 0 <= bound + 0) " growth"
        }
        if (name ~ /^Choose/) target = target " " verdict(now < 1000 && allocs[name, at[s]] == 0) " <1000 ns, 0 allocs"
        if (name ~ /^Second/ && at[s] == 500) target = target " " verdict(now < 20e6) " <20 ms"
        printf "%-22s %7d %12.1f %10d %10d %8s %8s  %s\n", name, at[s], now, bytes[name, at[s]], allocs[name, at[s]], growth, bound, target
        last = now
      }
    }
    if (missed) printf "%d targets missed\n", missed
    exit missed > 0 || n == 0
  }'
