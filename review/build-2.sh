#!/usr/bin/env bash
# Builds the stand-ins and the driver of the scripts in review/6 to review/10.
# Needs only the Debian packages of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
Out=target/review-2
mkdir -p "$Out"
Flags=(-std=c++17 -O1 -Wall -Wextra)
for Source in review/6/loopback/*.cpp; do
  g++ "${Flags[@]}" -c "$Source" -o "$Out/$(basename "$Source" .cpp).o" &
  Jobs+=($!)
done
for Job in "${Jobs[@]}"; do
  wait "$Job"
done
g++ "$Out"/*.o -o "$Out/cases" -lpthread
