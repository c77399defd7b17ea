#!/usr/bin/env bash
# Runs one case: review/run-case.sh NUMBER. Its exit code is that of the case.
set -uo pipefail
cd "$(dirname "$0")/.."
number="$1"
program="target/tanagerseamd"
standins="target/review/case-$number"
if [ ! -x "$program" ] || [ ! -x "$standins" ]; then
  echo "build first: the command of deploy/system.toml, then review/build.sh" >&2
  exit 2
fi
folder="$(mktemp -d)" || exit 2
trap 'rm -rf "$folder"' EXIT
timeout --kill-after=5 118 \
  "$standins" "$program" "$folder" "review/$number/record.txt"
result=$?
case "$result" in
0 | 1) exit "$result" ;;
*) exit 2 ;;
esac
