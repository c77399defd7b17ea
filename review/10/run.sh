#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
# TROUBLE=0 leaves the disruption out.
folder=$(cd "$(dirname "$0")" && pwd)
number=$(basename "$folder")
cd "$folder/../.." || exit 2
[ -x "target/review-2/case-$number" ] && [ -x target/tanagerseamd ] || exit 2
timeout -k 5 118 "target/review-2/case-$number"
result=$?
[ "$result" -le 2 ] && exit "$result"
exit 2
