#!/usr/bin/env bash
# Measures the cost of changes and failures in a fleet of real processes on
# loopback, for docs/CAPACITY.md: time until a table change is in force
# everywhere, calls to the platform and bytes between instances. No jobs are
# submitted.
#
#   scripts/capacity-fleet.sh OUTDIR [COUNT]
#
# It writes OUTDIR/fleet.csv (one row per event: seconds, read and write calls to
# the platform, the peak of each per second; bytes sent between instances, per
# second and instance, unless a link is lost) and OUTDIR/force.json (one line per
# load). The instances of the second half of the failure domains reach the
# platform through a link that is silenced in the partition events.
# Environment: NET (default 127.79), DOMAINS (default 6), OUTAGE (default 60 s).
set -euo pipefail
cd "$(dirname "$0")/.."
out="$1"
count="${2:-48}"
net="${NET:-127.79}"
domains="${DOMAINS:-6}"
outage="${OUTAGE:-60}"
work="$(mktemp -d)"
level=info
source scripts/fleet.sh
trap 'stop_all; rm -rf "$work"' EXIT
mkdir -p "$out"
go build -o "$work/" ./cmd/nutmegweir ./internal/capacity/cmd/capacity

direct="$net.0.1:9000"
linked="$net.4.1:9000"
# platform_of prints the address at which instance $1 reaches the platform.
platform_of() { if [ $(($1 % domains)) -lt $((domains / 2)) ]; then echo "$direct"; else echo "$linked"; fi; }

# calls prints the read and write calls to the platform so far.
calls() { curl -s -m 2 "http://$direct/standin/calls" | tr -dc '0-9,' | tr ',' ' '; }

# sample records the calls so far every half second, until it is killed.
sample() { while :; do calls >>"$work/samples" || true; echo >>"$work/samples"; sleep 0.5; done; }

# peak prints the peak of column $1 in calls per second (two samples).
peak() { awk -v c="$1" 'NF == 2 { if (n >= 2 && $c - old[n % 2] > m) m = $c - old[n % 2]; old[n % 2] = $c; n++ } END {print m + 0}' "$work/samples"; }

# measure NAME SECONDS COMMAND...: runs the command, waits, writes the row.
# The byte counters of a lost link are lost too, so no bytes are given then.
measure() {
  local name="$1" seconds="$2" r0 w0 n0 b0 r1 w1 n1 b1 t0 t1 sampler bytes=""
  shift 2
  : >"$work/samples"
  read -r r0 w0 < <(calls; echo)
  read -r n0 b0 _ < <(links)
  t0="$(date +%s%3N)"
  sample &
  sampler=$!
  "$@"
  sleep "$seconds"
  kill "$sampler"
  wait "$sampler" 2>/dev/null || true
  t1="$(date +%s%3N)"
  read -r r1 w1 < <(calls; echo)
  read -r n1 b1 _ < <(links)
  if [ "$n0" = "$n1" ] && [ "$b1" -ge "$b0" ]; then bytes="$(((b1 - b0) * 1000 / count / (t1 - t0)))"; fi
  awk -v t="$((t1 - t0))" -v e="$name,$count" -v r="$((r1 - r0)),$((w1 - w0)),$(peak 1),$(peak 2),$bytes" \
    'BEGIN { printf "%s,%.1f,%s\n", e, t / 1000, r }' | tee -a "$out/fleet.csv"
}

stop_entry() {
  kill "-$1" "${entries[$2]}"
  wait "${entries[$2]}" 2>/dev/null || true
}
start_one() { start_entry "$1" "$domains" "$(platform_of "$1")"; }
replace() { stop_entry TERM "$1"; start_one "$1"; }
kill_two() { kill -KILL "${entries[$1]}" "${entries[$2]}"; wait "${entries[$1]}" "${entries[$2]}" 2>/dev/null || true; }
start_two() { start_one "$1"; start_one "$2"; }
kill_domain() { local i; for i in $(seq "$1" "$domains" $((count - 1))); do kill -KILL "${entries[$i]}"; done; }
start_domain() { local i; for i in $(seq "$1" "$domains" $((count - 1))); do start_one "$i"; done; }
set_link_silent() { curl -s -X PUT -d "{\"silent\":$1}" "http://$net.4.1:9100/standin/mode" >/dev/null; }
platform_outage() {
  kill -STOP "$platform_pid"
  sleep "$outage"
  kill -CONT "$platform_pid"
}
measure_edits() { "$work/capacity" force "${force_flags[@]}" "$@" | tee -a "$out/force.json"; }

uptime >"$out/machine.txt"
echo "event,instances,seconds,reads,writes,peak_reads_s,peak_writes_s,sent_bytes_s" >"$out/fleet.csv"
: >"$out/force.json"
start_platform
"$work/nutmegweir" standin link --listen "$linked" --target "$direct" --control "$net.4.1:9100" >"$work/link.log" 2>&1 &
pids+=($!)
force_flags=()
start_all() {
  local i
  for i in $(seq 0 $((count - 1))); do
    start_one "$i"
    force_flags+=(--operator "$net.2.$((i + 1)):8003" --log "$work/e$i.log")
  done
}
sleep 0.5
measure "all start" 20 start_all
measure "at rest" 30 true
measure "lone edits" 1 measure_edits --load lone --edits 20 --every-ms 1000
measure "burst of edits" 1 measure_edits --load burst --edits 100 --every-ms 100
last=$((count - 1))
measure "one replaced" 20 replace 0
measure "one lost" 20 stop_entry KILL "$last"
measure "it joins again" 10 start_one "$last"
measure "rack lost" 20 kill_two "$last" $((last - domains))
measure "rack joins again" 10 start_two "$last" $((last - domains))
measure "domain lost" 25 kill_domain 0
measure "domain joins again" 20 start_domain 0
measure "half cut from the platform" "$outage" set_link_silent true
measure "half healed" 20 set_link_silent false
measure "platform stopped and back" 20 platform_outage
uptime >>"$out/machine.txt"
