#!/usr/bin/env bash
# Model-checks the replication protocol. Filled in with the specification.
set -euo pipefail
cd "$(dirname "$0")"
