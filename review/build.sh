#!/usr/bin/env bash
# Builds the cases and their stand-ins under target/review, after the build of
# the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for Source in review/*.cpp; do
  g++ -std=c++17 -O1 -Wall -Wextra -c "$Source" \
    -o "target/review/$(basename "$Source" .cpp).o" &
done
wait
for Case in review/[1-5]; do
  [ -f "$Case/case.cpp" ] || continue
  g++ -std=c++17 -O1 -Wall -Wextra "$Case/case.cpp" target/review/*.o \
    -o "target/review/case-$(basename "$Case")" -pthread
done
