#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
case=target/review-3/case-15
[ -x "$case" ] && [ -x target/tanagerseamd ] || exit 2
timeout --kill-after=5 115 "$case"
code=$?
case $code in 0 | 1) exit $code ;; *) exit 2 ;; esac
