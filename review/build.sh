#!/usr/bin/env bash
# Builds the stand-ins and clients of the cases into target/review. Needs g++ and nlohmann-json3-dev, which the
# deploy file lists.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
objects=()
for source in wire store deployment agent; do
  g++ -std=c++20 -O2 -Wall -Wextra -pthread -c "review/stand_ins/$source.cpp" -o "target/review/$source.o" &
  objects+=("target/review/$source.o")
done
wait
for case in review/[0-9]*/case.cpp; do
  number=$(basename "$(dirname "$case")")
  g++ -std=c++20 -O2 -Wall -Wextra -pthread "$case" "${objects[@]}" -o "target/review/case_$number" &
done
wait
for case in review/[0-9]*/case.cpp; do
  [ -x "target/review/case_$(basename "$(dirname "$case")")" ]
done
