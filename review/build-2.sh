#!/bin/sh
# Builds the stand-ins of cases 6 to 10 (review/standins2): compiles them with the interpreter that
# the deploy file's build has made.  They need nothing else; run this after python3 deploy/build.py.
cd "$(dirname "$0")/.." || exit 1
target/python -S - <<'P'
import sys
from pathlib import Path

for path in sorted(Path("review").glob("standins2/*.py")) + sorted(Path("review").glob("*/play.py")):
    if path.parts[1] in ("standins2", "6", "7", "8", "9", "10"):
        compile(path.read_text(), str(path), "exec")
sys.path.insert(0, "review")
import standins2.case, standins2.link, standins2.operator, standins2.routers, standins2.runner
P
