#!/usr/bin/env bash
# Measures idle entry instances as real processes on loopback, for the growth
# with the number of members in docs/CAPACITY.md: CPU time, memory, and traffic
# between instances. No jobs are submitted.
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

level=warn
source scripts/fleet.sh
trap 'stop_all; rm -rf "$work"' EXIT

echo "instances,domains,seconds,cpu_share,rss_kb,link_ends,sent_bytes_s,sent_segments_s" >"$outfile"
for count in "${counts[@]}"; do
  domains=$((count < domains_max ? count : domains_max))
  start_platform
  entries=()
  for i in $(seq 0 $((count - 1))); do start_entry "$i" "$domains" "$net.0.1:9000"; done
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
