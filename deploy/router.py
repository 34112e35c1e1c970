"""Starts a router on its platform from a checkout and its installed libraries."""

import _signal

# The default action of SIGHUP terminates the process until the router installs its handler.
# Importing ``signal`` or any other module first would take longer than the interpreter's own
# startup.  Ignored reloads lose nothing: settings are read after this line, and later changes are
# detected by the file's modification time.
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
