#!/usr/bin/env bash
# Builds the stand-ins of the third review to target/review-3/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
go build -o target/review-3/case review/kit-3/*.go
