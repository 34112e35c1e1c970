"""Names that leave the process keep their spelling."""

import re
import subprocess
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
NAMES = ROOT / "docs" / "outer-names.txt"
SUFFIXES = (".py", ".toml", ".thrift", ".jsonl")


def sources():
    """Return the paths and the text of all tracked code, settings and recorded schedules."""
    command = ["git", "ls-files", "src", "scripts", "deploy", "tests"]
    listed = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, check=True).stdout
    paths = [ROOT / line for line in listed.splitlines() if line.endswith(SUFFIXES)]
    return "\n".join([listed, *(path.read_text(encoding="utf-8") for path in paths)])


# Guards against a rename that reaches the wire, settings, stored data, logs or metrics.
def test_each_outer_name_still_stands_in_the_code():
    text = sources()
    names = NAMES.read_text(encoding="utf-8").splitlines()
    assert names == sorted(set(names))
    words = set(re.findall(r"\w+", text))
    stands = {name: name in words if name.isidentifier() else name in text for name in names}
    assert [name for name, is_there in stands.items() if not is_there] == []
