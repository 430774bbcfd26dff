#!/usr/bin/env bash
# Compares the arrows block of docs/design.md with the build files and with the
# headers that each library includes. Prints every difference.
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
        problems.append(f"lib/{name} is not in the diagram")
        continue
    if used != arrows[name]:
        problems.append(f"lib/{name} uses {sorted(used)}, "
                        f"the diagram says {sorted(arrows[name])}")
    sources = list(cmake.parent.glob("include/**/*.h"))
    sources += list(cmake.parent.glob("src/*"))
    for source in sources:
        for other in re.findall(r'#include "nutmegwell/(\w+)/', source.read_text()):
            if other != name and other not in used:
                problems.append(f"{source} includes {other}")
for problem in problems:
    print(problem)
sys.exit(1 if problems else 0)
PY
