#!/usr/bin/env bash
# Model-checks the replication protocol, the succession of owners, late starts at
# restarted servers and the takeover of stored jobs with spin: all must hold over the whole state space of each bound, and every seeded
# mutation (M_) and weaker rule (W_) of the models must be caught. A harmless change (N_) must hold.
#
#   spec/check.sh                     run everything but the deep runs
#   spec/check.sh deep                run the deep runs, minutes and gigabytes each
#   spec/check.sh one NAME WANT ...   one run; the remaining arguments are macros
#
# JOBS is the number of concurrent verifiers, MEMORY_MB the memory limit of each.
set -euo pipefail
cd "$(dirname "$0")"
model=$PWD/replication.pml
succession=$PWD/succession.pml
restart=$PWD/restart.pml
takeover=$PWD/takeover.pml
max_depth=100000        # steps; a run with a longer path fails
memory_mb=${MEMORY_MB:-4096}    # memory limit of a verifier

# one runs a verifier and prints its name, its number of states and its verdict.
one() {
  local name=$1 want=$2
  shift 2
  work=$(mktemp -d)
  trap 'rm -rf "$work"' EXIT
  cd "$work"
  local file=$model
  case $name in
    succession*) file=$succession ;;
    restart*) file=$restart ;;
    takeover*) file=$takeover ;;
  esac
  spin -a "$@" "$file" >spin.out 2>&1 || { cat spin.out; exit 1; }
  gcc -O1 -w -DSAFETY -DCOLLAPSE -DMEMLIM=$memory_mb -o pan pan.c
  # -E: an end state at the bounds of the model is not an error.
  ./pan -E -m$max_depth >out 2>&1 || true
  verdict "$name" "$want"
}

verdict() {
  local name=$1 want=$2 states got=incomplete
  states=$(sed -n 's/^ *\([0-9]*\) states, stored.*/\1/p' out)
  if grep -q 'assertion violated' out; then
    got=violated
  elif grep -q 'errors: 0' out && ! grep -Eq 'Search not completed|search depth too small|out of memory' out; then
    got=holds
  fi
  if [ "$got" = "$want" ]; then
    printf '%-28s %10s states  %s, as expected\n' "$name" "$states" "$got"
    return
  fi
  printf '%-28s %10s states  %s, WANT %s\n' "$name" "${states:-no}" "$got" "$want"
  exit 1
}

# Bounds of the mutation runs, by the part of the model that they change. True
# time is constant (MINNOW) in the runs of REPLACE and HANDOVER.
base="-DNT=1 -DMAXVER=3 -DMAXKILL=2"
replace="-DREPLACE -DMINNOW=2 -DNT=1 -DMAXVER=3 -DMAXKILL=1"
handover="-DHANDOVER -DMINNOW=2 -DNT=2 -DMAXVER=2 -DMAXKILL=1"
calm="-DCALM -DMINNOW=2 -DMAXVER=7 -DMAXKILL=1"

# runs lists all regular runs, the longest first.
runs() {
  echo "replace holds $replace"
  mutation W_SILENCE_FIRST
  mutation M_REPLACE_OLD_RELEASE
  echo "two-tasks-one-kill holds -DNT=2 -DMAXVER=3 -DMAXKILL=1"
  echo "handover-one-task holds -DHANDOVER -DMINNOW=2 -DNT=1 -DMAXVER=3 -DMAXKILL=2"
  echo "replace-and-handover holds -DREPLACE -DHANDOVER -DMINNOW=2 -DNT=1 -DMAXVER=2 -DMAXKILL=1"
  echo "one-task-two-kills holds $base"
  echo "N_ACK_AFTER_PROMISE holds $base -DN_ACK_AFTER_PROMISE"
  echo "handover-two-tasks holds -DHANDOVER -DMINNOW=2 -DNT=2 -DMAXVER=2 -DMAXKILL=2"
  echo "calm-replace holds $calm -DREPLACE -DNT=1"
  echo "calm-handover holds $calm -DHANDOVER -DNT=1"
  echo "two-tasks-two-kills holds -DNT=2 -DMAXVER=2 -DMAXKILL=2"
  echo "succession holds -DMAXREV=3"
  grep -oE '\bM_[A-Z]+(_[A-Z]+)*\b' "$succession" | sort -u | while read -r m; do
    echo "succession-$m violated -DMAXREV=3 -D$m"
  done
  echo "restart holds -DLIVES=3"
  echo "restart-one-life holds -DM_NO_BOUND -DNO_RESTART"
  echo "restart-named-life holds -DNAMED_LIFE"
  echo "restart-called-first holds -DW_TOKEN_EARLY -DCALLED_FIRST"
  grep -oE '\b[MW]_[A-Z]+(_[A-Z]+)*\b' "$restart" | sort -u | while read -r m; do
    echo "restart-$m violated -D$m"
    [ "$m" = W_TOKEN_EARLY ] || echo "restart-$m-called-first violated -D$m -DCALLED_FIRST"
  done
  echo "takeover holds"
  echo "takeover-alone holds -DALONE"
  grep -oE '\bM_[A-Z]+(_[A-Z]+)*\b' "$takeover" | sort -u | while read -r m; do
    echo "takeover-$m violated -D$m"
  done
  grep -oE '\b[MW]_[A-Z]+(_[A-Z]+)*\b' "$model" | sort -u | while read -r m; do
    case $m in
      W_SILENCE_FIRST | M_REPLACE_OLD_RELEASE) ;;
      *) mutation "$m" ;;
    esac
  done
}

# deep_runs lists the runs with larger bounds.
deep_runs() {
  echo "deep-replace-and-handover holds -DREPLACE -DHANDOVER -DMINNOW=2 -DNT=1 -DMAXVER=3 -DMAXKILL=1"
  echo "deep-handover-two-tasks holds -DHANDOVER -DMINNOW=2 -DNT=2 -DMAXVER=3 -DMAXKILL=1"
  echo "deep-replace-two-kills holds -DREPLACE -DMINNOW=2 -DNT=1 -DMAXVER=3 -DMAXKILL=2"
  echo "deep-handover-four-versions holds -DHANDOVER -DMINNOW=2 -DNT=1 -DMAXVER=4 -DMAXKILL=1"
  echo "deep-calm-both holds $calm -DREPLACE -DHANDOVER -DNT=1"
  echo "deep-calm-two-tasks holds $calm -DHANDOVER -DNT=2"
  echo "deep-replace-acks holds $replace -DN_ACK_AFTER_PROMISE"
  echo "deep-handover-acks holds $handover -DN_ACK_AFTER_PROMISE"
}

mutation() {
  local bounds=$base
  case $1 in
    *_REPLACE_*) bounds=$replace ;;
    *_HANDOVER_*) bounds=$handover ;;
    *_CALM_*) bounds="$calm -DREPLACE -DHANDOVER -DNT=1" ;;
  esac
  echo "$1 violated $bounds -D$1"
}

if [ "${1:-}" = one ]; then
  shift
  one "$@"
  exit
fi
list=runs
if [ "${1:-}" = deep ]; then
  list=deep_runs
  export MEMORY_MB=${MEMORY_MB:-6144}
fi
if ! $list | xargs -P "${JOBS:-4}" -L 1 "$PWD/check.sh" one; then
  echo "spec: a run did not end as expected; see the lines marked WANT" >&2
  exit 1
fi
