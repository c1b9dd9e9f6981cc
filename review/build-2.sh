#!/usr/bin/env bash
# Builds the stand-ins and clients of the second review's scripts, to target/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
out="$PWD/target/review-kit-2"
cd review/kit-2
go build -o "$out" .
