#!/usr/bin/env bash
# Runs all tests with the race detector. Tests listed in KNOWN-RED.txt (lines
# "test: TestName") are skipped and printed.
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
ingress=/internal/ingress/ingresstest
go test "${args[@]}" $(go list ./... | grep -v "${pure[0]}\$" | grep -v "${pure[1]}\$" | grep -v "$soak\$" | grep -v "$ingress\$")
# The soak opens many connections, whose ports could collide with listeners of
# other tests.
go test "${args[@]}" ".$soak"
# The client loads need the machine for themselves.
go test "${args[@]:1}" ".$ingress"
# These scenarios run in one goroutine and in virtual time, where the race
# detector finds nothing but takes minutes.
go test "${args[@]:1}" "./${pure[0]#/}" "./${pure[1]#/}"
if [ -n "$skip" ]; then
  echo "skipped, see KNOWN-RED.txt:"
  cat KNOWN-RED.txt
fi
