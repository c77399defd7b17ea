#!/usr/bin/env bash
# Builds the stand-ins of the cases into target/review/, each into one program
# with the course of its case.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/*/case.cc; do
  number="$(basename "$(dirname "$source")")"
  g++ -std=c++17 -O1 -Wall -Wextra -I. "$source" -o "target/review/case-$number" -pthread
done
