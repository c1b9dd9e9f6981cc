#!/usr/bin/env bash
# Fails if a name of docs/OUTER-NAMES.txt no longer occurs in the sources.
set -euo pipefail
cd "$(dirname "$0")/.."
sources="$(mktemp)"
trap 'rm -f "$sources"' EXIT
git ls-files '*.go' '*.proto' '*.hujson' '*.toml' '*.sh' '*.txt' '*.txtar' ':!docs' ':!journal' ':!KNOWN-RED.txt' ':!**/*_test.go' | xargs -d '\n' cat >"$sources"
git ls-files internal/daemon/script_test.go internal/ctl/ctl_test.go deploy workloads | tee -a "$sources" | xargs -d '\n' cat >>"$sources"
missing=0
while IFS= read -r name; do
  case "$name" in ''|'#'*) continue ;; esac
  if ! grep -qwF -e "$name" "$sources"; then
    echo "not found in the sources: $name"
    missing=1
  fi
done <docs/OUTER-NAMES.txt
exit "$missing"
