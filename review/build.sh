#!/usr/bin/env bash
# Checks that the stand-ins compile: they need Python 3.11 and its standard library only.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'P'
import sys
from pathlib import Path

if sys.version_info < (3, 11):
    sys.exit("Python 3.11 is needed")
for path in Path(".").rglob("*.py"):
    compile(path.read_text(), str(path), "exec")
P
