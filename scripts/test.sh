#!/usr/bin/env bash
# Runs all tests with the race detector. Tests that KNOWN-RED.txt names
# (lines "test: TestName") are passed over and printed.
set -euo pipefail
cd "$(dirname "$0")/.."
skip=""
if [ -f KNOWN-RED.txt ]; then
  skip="$(sed -n 's/^test: *\([A-Za-z0-9_/]*\).*/\1/p' KNOWN-RED.txt | paste -sd '|' -)"
fi
pure=(/internal/sched/schedbench /internal/fleet/fleetsim)
args=(-race -timeout 20m)
if [ -n "$skip" ]; then
  args+=(-skip "^($skip)\$")
fi
soak=/internal/soak
go test "${args[@]}" $(go list ./... | grep -v "${pure[0]}\$" | grep -v "${pure[1]}\$" | grep -v "$soak\$")
# The soak opens many connections, whose ports others may be about to listen on.
go test "${args[@]}" ".$soak"
# These scenarios run in one goroutine and virtual time, where the race
# detector finds nothing and takes minutes.
go test "${args[@]:1}" "./${pure[0]#/}" "./${pure[1]#/}"
if [ -n "$skip" ]; then
  echo "passed over, see KNOWN-RED.txt:"
  cat KNOWN-RED.txt
fi
