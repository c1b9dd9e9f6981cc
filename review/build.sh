#!/usr/bin/env bash
# Builds the stand-ins of the scripted cases to review/bin/. It needs no network: they use
# the standard library alone.
set -euo pipefail
cd "$(dirname "$0")/kit"
GOFLAGS=-buildvcs=false GOWORK=off go build -o ../bin/kit .
