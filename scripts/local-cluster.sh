#!/usr/bin/env bash
# Runs a workload on real processes on loopback: starts the platform stand-in,
# the backend servers and the entry instances that the workload file describes,
# offers the load, and stops all started processes.
#
#   scripts/local-cluster.sh WORKLOAD OUTDIR [flags of nutmegctl load]
#
# Environment:
#   NET      first two bytes of the loopback network (default 127.77)
#   SHARDS   shards of each failure domain (default 32)
#   GOMAXPROCS_ENTRY  GOMAXPROCS of an entry instance if the workload has none (default 2)
#   SETTLE   seconds from readiness to the start of the load (default 3)
#
# If a workload isolates a domain, there is a link stand-in in front of the peer
# port of each entry instance, and one per domain in front of the platform.
# Isolation silences the domain's link to the platform and, by the dialer's IP
# address, the links between the domain and the others, but not the connections
# to backend servers.
#
# It writes to OUTDIR: the load's report and plots, the settings and logs of the
# processes, usage.csv (CPU time and memory of each entry instance), machine.txt
# (load average before and after) and events.log (injected faults).
set -euo pipefail
cd "$(dirname "$0")/.."
workload="$1"
out="$2"
shift 2
net="${NET:-127.77}"
shards="${SHARDS:-32}"
procs_default="${GOMAXPROCS_ENTRY:-2}"
mkdir -p "$out"
bin="$out/bin"
go build -o "$bin/" ./cmd/...

pids=()
stop_all() {
  trap - EXIT
  # Entry instances started by run_events are listed only in the file.
  mapfile -t -O "${#pids[@]}" pids < <(cat "$out/pids" 2>/dev/null)
  for pid in "${pids[@]}"; do kill -CONT "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do kill -KILL "$pid" 2>/dev/null || true; done
  wait 2>/dev/null || true
}
trap stop_all EXIT

entry_domains=()
entry_procs=()
backends=()
events=()
while read -r what a b c d; do
  case "$what" in
    entry) entry_domains+=("$a"); entry_procs+=("$b") ;;
    backend) backends+=("$a $b $c $d") ;;
    event) events+=("$a $b $c") ;;
  esac
done < <("$bin/nutmegctl" load "$workload" --print-cluster)
domains="$(printf '%s\n' "${entry_domains[@]}" | sort -u | sed 's/.*/"&"/' | paste -sd,)"

platform="$net.0.1:9000"
cuts=no
case " ${events[*]-} " in *" cut-domain "*) cuts=yes ;; esac
listed=()
load_flags=()
for i in "${!backends[@]}"; do
  read -r domain slots speed fault <<<"${backends[$i]}"
  addr="$net.1.$((i + 1)):9000"
  "$bin/nutmegweir" standin backend --listen "$addr" --name "b$i" --slots "$slots" --speed "$speed" >"$out/b$i.log" 2>&1 &
  pids+=($!)
  listed+=(--backend "b$i,$addr,$domain,$slots")
  load_flags+=(--starts "$addr")
done
"$bin/nutmegweir" standin platform --listen "$platform" "${listed[@]}" >"$out/platform.log" 2>&1 &
platform_pid=$!
pids+=($!)

for i in "${!backends[@]}"; do
  read -r domain slots speed fault <<<"${backends[$i]}"
  case "$fault" in
    fail) modes='{"fail_all":true}' ;;
    silent) modes='{"silent":true}' ;;
    *) continue ;;
  esac
  curl -sS --retry 20 --retry-connrefused --retry-delay 1 -X PUT -d "$modes" "http://$net.1.$((i + 1)):9000/standin/modes" >/dev/null
done

# start_link starts a link stand-in at IP address $1 and port $2 to target $3,
# with control port 9100.
start_link() {
  "$bin/nutmegweir" standin link --listen "$1:$2" --target "$3" --control "$1:9100" >"$out/link-$1.log" 2>&1 &
  pids+=($!)
}
domain_list=()
mapfile -t domain_list < <(printf '%s\n' "${entry_domains[@]}" | sort -u)
# platform_link prints the IP address of the platform link of domain $1.
platform_link() {
  local i
  for i in "${!domain_list[@]}"; do
    if [ "${domain_list[$i]}" = "$1" ]; then echo "$net.4.$((i + 1))"; fi
  done
}
if [ "$cuts" = yes ]; then
  for i in "${!entry_domains[@]}"; do start_link "$net.3.$((i + 1))" 8002 "$net.2.$((i + 1)):8002"; done
  for d in "${domain_list[@]}"; do start_link "$(platform_link "$d")" 9000 "$platform"; done
fi

# start_entry starts entry instance number $1.
start_entry() {
  local i="$1" ip="$net.2.$(($1 + 1))" procs="${entry_procs[$1]}" at="$platform" peers=""
  if [ "$cuts" = yes ]; then
    at="$(platform_link "${entry_domains[$i]}"):9000"
    peers="\"peers\": {\"advertise\": \"$net.3.$((i + 1)):8002\"},"
  fi
  cat >"$out/e$i.hujson" <<SETTINGS
{
  "instance": "e$i", "domain": "${entry_domains[$i]}", "domains": [$domains],
  "listen": {"caller": "$ip:8001", "peer": "$ip:8002", "operator": "$ip:8003"},
  "platform": {"addr": "$at"}, $peers
  "tls": {"caller": {"plain": true}, "peer": {"plain": true}, "operator": {"plain": true}},
  "shards": {"per_domain": $shards},
  "log_level": "warn",
}
SETTINGS
  [ "$procs" -gt 0 ] || procs="$procs_default"
  GOMAXPROCS="$procs" "$bin/nutmegweir" serve --config "$out/e$i.hujson" >>"$out/e$i.log" 2>&1 &
  echo $! >"$out/e$i.pid"
  echo $! >>"$out/pids"
}

# replace_entry starts entry instance number $1 once its previous process has
# exited, because both use the same addresses.
replace_entry() {
  while kill -0 "$(cat "$out/e$1.pid")" 2>/dev/null; do sleep 0.1; done
  start_entry "$1"
}
: >"$out/pids"
for i in "${!entry_domains[@]}"; do
  start_entry "$i"
  load_flags+=(--entry "${entry_domains[$i]}=$net.2.$((i + 1)):8001")
done
for i in "${!entry_domains[@]}"; do
  for _ in $(seq 150); do
    curl -sf -o /dev/null "http://$net.2.$((i + 1)):8003/readyz" && continue 2
    sleep 0.2
  done
  echo "entry instance e$i did not become ready; see $out/e$i.log" >&2
  exit 1
done
sleep "${SETTLE:-3}"

# usage prints CPU seconds and resident KB of each entry instance.
ticks="$(getconf CLK_TCK)"
usage() {
  for i in "${!entry_domains[@]}"; do
    pid="$(cat "$out/e$i.pid")"
    if [ -r "/proc/$pid/stat" ]; then
      awk -v i="$i" -v at="$1" -v hz="$ticks" '{printf "%s,e%d,%.2f,", at, i, ($14+$15)/hz}' "/proc/$pid/stat"
      awk '/VmRSS/ {print $2}' "/proc/$pid/status"
    fi
  done
}
echo "at,instance,cpu_seconds,rss_kb" >"$out/usage.csv"
usage before >>"$out/usage.csv"

# ips_of prints the IP addresses of the instances of domain $1, or with $2
# "others" of all other domains, as the elements of a JSON list.
ips_of() {
  local i list=()
  for i in "${!entry_domains[@]}"; do
    if [ "$2" = others ] && [ "${entry_domains[$i]}" = "$1" ]; then continue; fi
    if [ "$2" = own ] && [ "${entry_domains[$i]}" != "$1" ]; then continue; fi
    list+=("\"$net.2.$((i + 1))\"")
  done
  (IFS=, && echo "${list[*]}")
}
set_link() { curl -sS -X PUT -d "$2" "http://$1:9100/standin/mode" >>"$out/events.log" 2>&1; }
# cut_domain silences the links between domain $1 and the others, and to the
# platform.
cut_domain() {
  local i from
  set_link "$(platform_link "$1")" '{"silent":true}'
  for i in "${!entry_domains[@]}"; do
    if [ "${entry_domains[$i]}" = "$1" ]; then from="$(ips_of "$1" others)"; else from="$(ips_of "$1" own)"; fi
    set_link "$net.3.$((i + 1))" "{\"silent_from\":[$from]}"
  done
}
heal_domain() {
  local i
  set_link "$(platform_link "$1")" '{}'
  for i in "${!entry_domains[@]}"; do set_link "$net.3.$((i + 1))" '{}'; done
}

# run_event injects one fault.
run_event() {
  echo "$(date +%T.%3N) $1 $2" >>"$out/events.log"
  case "$1" in
    start-entry) replace_entry "$2" & ;;
    stop-entry) kill -TERM "$(cat "$out/e$2.pid")" ;;
    kill-entry) kill -KILL "$(cat "$out/e$2.pid")" ;;
    pause-entry) kill -STOP "$(cat "$out/e$2.pid")" ;;
    resume-entry) kill -CONT "$(cat "$out/e$2.pid")" ;;
    stop-platform) kill -STOP "$platform_pid" ;;
    start-platform) kill -CONT "$platform_pid" ;;
    cut-domain) cut_domain "$2" ;;
    heal-domain) heal_domain "$2" ;;
    *) echo "$1 is not supported between processes on loopback" >>"$out/events.log" ;;
  esac
}
: >"$out/events.log"
run_events() {
  local began now
  began="$(date +%s%3N)"
  for e in "${events[@]}"; do
    read -r at action target <<<"$e"
    now="$(($(date +%s%3N) - began))"
    [ "$at" -le "$now" ] || sleep "$(awk -v ms="$((at - now))" 'BEGIN {print ms / 1000}')"
    run_event "$action" "$target"
  done
}
if [ "${#events[@]}" -gt 0 ]; then
  run_events &
  pids+=($!)
fi

uptime >"$out/machine.txt"
status=0
"$bin/nutmegctl" load "$workload" "${load_flags[@]}" --out "$out" "$@" | tee "$out/report.txt" || status=$?
usage after >>"$out/usage.csv"
uptime >>"$out/machine.txt"
cat "$out/events.log"
exit "$status"
