#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves the disruption out.
Folder=$(cd "$(dirname "$0")" && pwd)
cd "$Folder/../.." || exit 2
[ -x target/review/case-1 ] || exit 2
if [ "${TROUBLE:-1}" = 0 ]; then
  Disruption=without
else
  Disruption=with
fi
exec timeout -k 2 118 target/review/case-1 "$Folder" "$Disruption"
