"""Starts a router that reaches each runner through a relay of its own.

A file beside its settings maps the listed addresses of runners to those of the relays; it is read
again when it changes.  So one router can be cut off from runners that others reach.
"""

import json
import os
import runpy
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
LINKS_SUFFIX = ".links"

sys.path.insert(0, str(ROOT / "src"))

from martenrun.net import stream  # noqa: E402


class Links:
    """The relays' addresses by the addresses that they stand for."""

    def __init__(self, path: Path) -> None:
        self._path = path
        self._changed_at = 0
        self._addresses: dict[str, str] = {}

    def resolve(self, address: str) -> str:
        """Return the address to connect to instead of a listed one."""
        try:
            changed_at = self._path.stat().st_mtime_ns
        except FileNotFoundError:
            return address
        if changed_at != self._changed_at:
            self._changed_at = changed_at
            self._addresses = json.loads(self._path.read_text())
        return self._addresses.get(address, address)


def follow_links(links: Links) -> None:
    """Open all streams at the addresses of the relays."""
    open_stream = stream.open_stream

    def open_linked(loop: stream.Loop, address: str, owner: stream.StreamOwner) -> stream.Stream:
        return open_stream(loop, links.resolve(address), owner)

    stream.open_stream = open_linked


if __name__ == "__main__":
    settings = Path(os.environ["MARTENRUN_SETTINGS"])
    follow_links(Links(settings.with_suffix(LINKS_SUFFIX)))
    runpy.run_path(str(ROOT / "deploy" / "router.py"), run_name="__main__")
