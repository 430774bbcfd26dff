#!/usr/bin/env bash
# Runs all tests in the build folder $1. Tests listed in KNOWN-RED.txt run last;
# their results are printed but do not affect the exit code.
set -uo pipefail
Build=${1:-build}
Known=$(sed -n 's/^test: *\([^ ]*\).*/\1/p' KNOWN-RED.txt 2>/dev/null | sort -u)
Exclude=()
if [ -n "$Known" ]; then
  Exclude=(-E "^($(echo "$Known" | paste -sd'|'))\$")
fi
ctest --test-dir "$Build" --output-on-failure -j 6 "${Exclude[@]}"
Verdict=$?
for Test in $Known; do
  echo "known red: $Test"
  ctest --test-dir "$Build" --output-on-failure -R "^$Test\$" 2>&1 |
    sed 's/^/known red: /; s/tests passed/tests_passed/'
done
exit $Verdict
