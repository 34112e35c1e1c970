"""The tutorial's commands are run as they stand on the page, at free addresses."""

import os
import re
import subprocess
import sys
from pathlib import Path

from deployment import free_address

PAGE = Path(__file__).parent.parent / "docs" / "TUTORIAL.md"
BLOCK = re.compile(r"^```sh\n(.*?)^```$", re.MULTILINE | re.DOTALL)
ADDRESS = re.compile(r"127\.0\.0\.1:77\d\d")
LIMIT_S = 90
END_ALL = "trap 'kill -KILL $(jobs -p) 2>/dev/null || true' EXIT\n"


def commands():
    text = "".join(BLOCK.findall(PAGE.read_text(encoding="utf-8")))
    for address in sorted(set(ADDRESS.findall(text))):
        text = text.replace(address, free_address())
    return text


def test_every_command_of_the_tutorial_succeeds(tmp_path):
    path = f"{Path(sys.executable).parent}{os.pathsep}{os.environ['PATH']}"
    run = subprocess.run(
        ["bash", "-euo", "pipefail", "-c", END_ALL + commands()],
        cwd=tmp_path,
        env={**os.environ, "PATH": path},
        capture_output=True,
        text=True,
        timeout=LIMIT_S,
    )
    logs = "".join(log.read_text()[-500:] for log in sorted(tmp_path.glob("*.log")))
    assert run.returncode == 0, f"{run.stdout}\n{run.stderr}\n{logs}"
    assert run.stderr.count("prompt tokens were cached") == 4
    assert "duplicate_request" in run.stderr
