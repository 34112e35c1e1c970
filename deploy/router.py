"""Starts a router on the users' platform, from a checkout and its installed libraries."""

import _signal

# The default action of SIGHUP ends a process, until the router handles it.  Importing ``signal`` or
# any other module first takes longer than the interpreter's own start.  Settings that change
# meanwhile are read after this line, or noticed by the file's time.
_signal.signal(_signal.SIGHUP, _signal.SIG_IGN)

import gc  # noqa: E402
import sys  # noqa: E402
from pathlib import Path  # noqa: E402

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "src"))

from martenrun.platform import PLATFORM_ADAPTER, SETTINGS_SOURCE  # noqa: E402
from martenrun.router.process import run_router  # noqa: E402

if __name__ == "__main__":
    gc.freeze()
    run_router(SETTINGS_SOURCE, PLATFORM_ADAPTER, Path(__file__).with_name("decisions.toml"))
