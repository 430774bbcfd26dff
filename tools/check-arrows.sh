#!/usr/bin/env bash
# Checks that the dependency diagram in docs/design.md (its "arrows" block)
# matches the USES lists of the CMake files, and that each library includes only
# headers of libraries that it lists. Prints each difference and exits with 1 if
# there is one.
set -euo pipefail
python3 - <<'PY'
import pathlib
import re
import sys

page = pathlib.Path("docs/design.md").read_text()
block = re.search(r"```arrows\n(.*?)```", page, re.S).group(1)
arrows = {}
for line in block.strip().splitlines():
    name, _, used = line.partition("->")
    arrows[name.strip()] = set(used.split())

problems = []
for cmake in sorted(pathlib.Path("lib").glob("*/CMakeLists.txt")):
    name = cmake.parent.name
    text = cmake.read_text()
    call = re.search(r"nutmegwell_library\(" + name + r"(.*?)\)", text, re.S)
    uses = re.search(r"USES([^A-Z]*)", call.group(1)) if call else None
    used = set(uses.group(1).split()) if uses else set()
    if name not in arrows:
        problems.append(f"lib/{name} is missing from the arrows block of docs/design.md")
        continue
    if used != arrows[name]:
        problems.append(f"{cmake}: USES lists {sorted(used)}, "
                        f"docs/design.md lists {sorted(arrows[name])}")
    sources = list(cmake.parent.glob("include/**/*.h"))
    sources += list(cmake.parent.glob("src/*"))
    for source in sources:
        for other in re.findall(r'#include "nutmegwell/(\w+)/', source.read_text()):
            if other != name and other not in used:
                problems.append(f"{source} includes a header of {other}, "
                                f"which USES in {cmake} does not list")
for problem in problems:
    print(problem)
sys.exit(1 if problems else 0)
PY
