#!/usr/bin/env bash
# Checks the formatting, the dependency diagram of the libraries and clang-tidy.
# $1: build folder.
set -euo pipefail
Build=${1:-build}
git ls-files -co --exclude-standard '*.cpp' '*.h' | xargs clang-format --dry-run -Werror
tools/check-arrows.sh
git ls-files -co --exclude-standard '*.cpp' |
  xargs -P "$(nproc)" -n 2 clang-tidy -p "$Build" --quiet 2>/dev/null
