# Functions to start a fleet of entry instances on loopback; sourced by the
# measurement scripts. The caller sets: net (first two bytes of the network),
# work (directory), level (log level of the instances).
pids=()
entries=() # process IDs by instance number
ticks="$(getconf CLK_TCK)"

stop_all() {
  for pid in "${pids[@]}"; do kill -CONT "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do kill -KILL "$pid" 2>/dev/null || true; done
  wait 2>/dev/null || true
  pids=()
}

start_platform() {
  "$work/nutmegweir" standin platform --listen "$net.0.1:9000" >"$work/platform.log" 2>&1 &
  platform_pid=$!
  pids+=("$platform_pid")
}

# start_entry starts instance number $1 of a fleet in $2 failure domains, which
# reaches the platform at $3.
start_entry() {
  local i="$1" domains="$2" platform="$3" ip="$net.2.$(($1 + 1))" names
  names="$(seq -f '"d%g"' 0 $((domains - 1)) | paste -sd,)"
  cat >"$work/e$i.hujson" <<SETTINGS
{
  "instance": "e$i", "domain": "d$((i % domains))", "domains": [$names],
  "listen": {"caller": "$ip:8001", "peer": "$ip:8002", "operator": "$ip:8003"},
  "platform": {"addr": "$platform"},
  "tls": {"caller": {"plain": true}, "peer": {"plain": true}, "operator": {"plain": true}},
  "log_level": "$level",
}
SETTINGS
  GOMAXPROCS=1 "$work/nutmegweir" serve --config "$work/e$i.hujson" >>"$work/e$i.log" 2>&1 &
  pids+=($!)
  entries[i]=$!
}

# cpu prints the total CPU seconds of all entry instances.
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
