#!/usr/bin/env bash
# Measures idle entry instances as real processes on loopback, for the slopes
# of membership in docs/CAPACITY.md: processor time, memory, and what goes over
# the links between instances. No load is offered.
#
#   scripts/capacity-processes.sh OUTFILE [COUNT...]
#
# Environment: NET (default 127.78), DOMAINS (default 6), SECONDS_IDLE (default 15).
set -euo pipefail
cd "$(dirname "$0")/.."
outfile="$1"
shift
counts=("$@")
[ "${#counts[@]}" -gt 0 ] || counts=(2 4 8 16 32 48)
net="${NET:-127.78}"
domains_max="${DOMAINS:-6}"
idle="${SECONDS_IDLE:-15}"
work="$(mktemp -d)"
go build -o "$work/" ./cmd/nutmegweir

pids=()
stop_all() {
  for pid in "${pids[@]}"; do kill -KILL "$pid" 2>/dev/null || true; done
  wait 2>/dev/null || true
  pids=()
}
trap 'stop_all; rm -rf "$work"' EXIT
ticks="$(getconf CLK_TCK)"

# cpu prints the processor seconds of all entry instances together.
cpu() { for pid in "${entries[@]}"; do awk '{print $14+$15}' "/proc/$pid/stat"; done | awk -v hz="$ticks" '{s+=$1} END {print s/hz}'; }
rss() { for pid in "${entries[@]}"; do awk '/VmRSS/ {print $2}' "/proc/$pid/status"; done | awk '{s+=$1} END {print s}'; }
# links prints connections, payload bytes sent and segments sent on the peer ports.
links() {
  ss -tinH state established "( src $net.0.0/16 or dst $net.0.0/16 ) and ( sport = :8002 or dport = :8002 )" | awk '
    /^[0-9]/ {n++; next}
    { if (match($0, /bytes_sent:[0-9]+/)) b += substr($0, RSTART + 11, RLENGTH - 11)
      if (match($0, /segs_out:[0-9]+/)) s += substr($0, RSTART + 9, RLENGTH - 9) }
    END {print n + 0, b + 0, s + 0}'
}

echo "instances,domains,seconds,cpu_share,rss_kb,link_ends,sent_bytes_s,sent_segments_s" >"$outfile"
for count in "${counts[@]}"; do
  domains=$((count < domains_max ? count : domains_max))
  names="$(seq -f '"d%g"' 0 $((domains - 1)) | paste -sd,)"
  "$work/nutmegweir" standin platform --listen "$net.0.1:9000" >"$work/platform.log" 2>&1 &
  pids+=($!)
  entries=()
  for i in $(seq 0 $((count - 1))); do
    ip="$net.2.$((i + 1))"
    cat >"$work/e$i.hujson" <<SETTINGS
{
  "instance": "e$i", "domain": "d$((i % domains))", "domains": [$names],
  "listen": {"caller": "$ip:8001", "peer": "$ip:8002", "operator": "$ip:8003"},
  "platform": {"addr": "$net.0.1:9000"},
  "tls": {"caller": {"plain": true}, "peer": {"plain": true}, "operator": {"plain": true}},
  "log_level": "warn",
}
SETTINGS
    GOMAXPROCS=1 "$work/nutmegweir" serve --config "$work/e$i.hujson" >"$work/e$i.log" 2>&1 &
    pids+=($!)
    entries+=($!)
  done
  sleep 15
  c0="$(cpu)"
  read -r _ b0 s0 < <(links)
  t0="$(date +%s%3N)"
  sleep "$idle"
  t1="$(date +%s%3N)"
  c1="$(cpu)"
  read -r n b1 s1 < <(links)
  awk -v n="$count" -v d="$domains" -v t="$((t1 - t0))" -v c="$c0 $c1" -v r="$(rss)" -v e="$n" -v b="$((b1 - b0))" -v s="$((s1 - s0))" 'BEGIN {
    split(c, cc, " "); sec = t / 1000
    printf "%d,%d,%.1f,%.4f,%.0f,%.1f,%.0f,%.1f\n", n, d, sec, (cc[2]-cc[1])/sec/n, r/n, e/n, b/sec/n, s/sec/n }' | tee -a "$outfile"
  stop_all
done
