"""Measures following engines: starts ``bench feed-engines`` and ``bench feeds`` and ends both.

Usage: ``measure_feeds.py ENGINES [FLAG ...]``; flags go to ``martenrun bench feeds``.  Prints
one JSON line.
"""

import socket
import subprocess
import sys

from deployment import START_TIMEOUT_S, STOP_TIMEOUT_S, answers, wait_until

_PORTS_FROM = 21_000
_PORTS_TO = 30_000
_COMMAND = [sys.executable, "-m", "martenrun.cli", "bench"]


def free_ports(count: int) -> int:
    """Return the first of so many consecutive ports that are free now."""
    for first in range(_PORTS_FROM, _PORTS_TO, count):
        try:
            for port in range(first, first + count):
                with socket.socket() as probe:
                    probe.bind(("127.0.0.1", port))
        except OSError:
            continue
        return first
    raise RuntimeError(f"no {count} consecutive free ports; end other runs first")


def main() -> None:
    """Start both processes, print what the second measured."""
    engines = sys.argv[1]
    first_port = free_ports(int(engines))
    places = ["--engines", engines, "--first-port", str(first_port)]
    holder = subprocess.Popen([*_COMMAND, "feed-engines", *places], stderr=subprocess.DEVNULL)
    try:
        last = f"127.0.0.1:{first_port + int(engines) - 1}"
        wait_until(lambda: answers(last, "/v1/runner"), "engines", START_TIMEOUT_S)
        subprocess.run([*_COMMAND, "feeds", *places, "--json", *sys.argv[2:]], check=True)
    finally:
        holder.terminate()
        try:
            holder.wait(timeout=STOP_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            holder.kill()
            holder.wait()


if __name__ == "__main__":
    main()
