#!/usr/bin/env bash
# Runs workloads in sequence on real processes and prints a row of the table in
# docs/LOAD.md for each.
#
#   scripts/load-all.sh OUTDIR [WORKLOAD...]
#
# It writes the files of each run to OUTDIR/WORKLOAD, and the rows to OUTDIR/rows.md.
set -uo pipefail
cd "$(dirname "$0")/.."
out="$1"
shift
names=("$@")
[ "${#names[@]}" -gt 0 ] || names=(glenbrae al-hadhira crest head-of-line restarts killed domain-cut fails-everything silent speeds half-size cancel-wave)
mkdir -p "$out"

# row prints the row of the run in directory $1: jobs, complete, on time, failed,
# rejected, unknown, pending; complete after a retry; ratio of response time to
# ideal, its p99 for short jobs; false answers; load average; send lag in ms.
row() {
  local load
  load="$(awk -F'load average: ' '{split($2, a, "."); printf "%s%s", sep, a[1]; sep = ", "}' "$1/machine.txt")"
  awk -v name="$(basename "$1")" -v load="$load" '
    /^sent late by p99/ {late = $5}
    $1 == "all" {row = $2; for (i = 3; i <= 8; i++) row = row " | " $i; ratio = $12}
    $1 == "short" {short = $14}
    /^offered again after Retry-After:/ {again = $5}
    /^untrue answers:/ {untrue = $3}
    END {printf "| %s | %s | %s | %s | %s | %s | %s | %s |\n", name, row, again + 0, ratio, short, untrue, load, late}' "$1/report.txt"
}

for name in "${names[@]}"; do
  scripts/local-cluster.sh "workloads/$name.hujson" "$out/$name" >"$out/$name.log" 2>&1 || echo "$name: exit code $?; see $out/$name.log"
  row "$out/$name" | tee -a "$out/rows.md"
done
