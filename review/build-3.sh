#!/usr/bin/env bash
# Builds the stand-ins and the programs of the cases 11 to 15 under
# target/review-3.
set -euo pipefail
cd "$(dirname "$0")/.."
Out=target/review-3
mkdir -p "$Out"
Flags=(-std=c++17 -O2 -Wall -Wextra -pthread)
for Source in review/testbed/*.cpp; do
  g++ "${Flags[@]}" -c "$Source" -o "$Out/$(basename "$Source" .cpp).o" &
done
for Job in $(jobs -p); do wait "$Job"; done
for Case in 11 12 13 14 15; do
  [ -f "review/$Case/case.cpp" ] || continue
  g++ "${Flags[@]}" "review/$Case/case.cpp" "$Out"/*.o -o "$Out/case-$Case"
done
