#!/usr/bin/env bash
# Builds the stand-ins and drivers of review 3 into target/review-3/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for source in review/1[1-5]/driver.cc; do
  [ -e "$source" ] || continue
  number=$(basename "$(dirname "$source")")
  g++ -std=c++17 -O1 -Wall -Wextra -pthread -I. -o "target/review-3/case-$number" \
    "$source" review/support-3/*.cc
done
