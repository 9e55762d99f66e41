#!/usr/bin/env bash
# Builds the stand-ins of cases 4 to 8 into target/review-2, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/[4-8]/case.cpp; do
  number=$(basename "$(dirname "$source")")
  g++ -std=c++20 -O1 -pthread -o "target/review-2/case-$number" "$source"
done
