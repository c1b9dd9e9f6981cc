#!/usr/bin/env bash
# Plays the case; TROUBLE=0 leaves the disruption out. Exit 1: the rule was broken,
# 0: it held, 2: it couldn't run.
cd "$(dirname "$0")/../.." || exit 2
exec target/review-kit-2 spread review/9/record.txt
