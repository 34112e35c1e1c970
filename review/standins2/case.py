"""What all scripts of cases share: the record, and the way in which they end."""

import asyncio
import os
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable
from pathlib import Path

HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"

HELD = 0
BROKEN = 1
COULD_NOT_RUN = 2


class Record:
    """Writes what was sent, answered and run, each line with the seconds since the begin."""

    def __init__(self, folder: Path) -> None:
        self._began = time.monotonic()
        self._file = (folder / "record.txt").open("w")

    def write(self, line: str) -> None:
        """Write a line."""
        print(f"{time.monotonic() - self._began:8.3f} {line}", file=self._file, flush=True)


def run_case(
    folder: Path, play: Callable[[Record, Path], Awaitable[int]], limit_s: float = 100.0
) -> None:
    """Play a case with a temporary folder, and exit with its status."""

    async def play_within_limit(record: Record) -> int:
        with tempfile.TemporaryDirectory(prefix="review-") as temporary:
            try:
                async with asyncio.timeout(limit_s):
                    return await play(record, Path(temporary))
            except (TimeoutError, OSError) as exc:
                record.write(f"the case could not run: {exc!r}")
                return COULD_NOT_RUN

    record = Record(folder)
    record.write("with the disruption" if HAS_TROUBLE else "TROUBLE=0: without the disruption")
    status = asyncio.run(play_within_limit(record))
    record.write(f"exit status {status}")
    sys.exit(status)
