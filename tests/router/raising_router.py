"""Starts a router in which one part of the maintenance raises in each round."""

import _signal

_signal.signal(_signal.SIGHUP, _signal.SIG_IGN)

import runpy  # noqa: E402
import sys  # noqa: E402
from pathlib import Path  # noqa: E402

ENTRY = Path(__file__).resolve().parent.parent.parent / "deploy" / "router.py"

sys.path.insert(0, str(ENTRY.parent.parent / "src"))


def fail(*_arguments):
    """Raise in each round."""
    raise OverflowError("in each round")


if __name__ == "__main__":
    from martenrun.router.partition_monitor import PartitionMonitor

    PartitionMonitor.run_maintenance = fail
    runpy.run_path(str(ENTRY), run_name="__main__")
