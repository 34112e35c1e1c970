"""Starts a router on the users' platform, from a checkout and its installed libraries."""

import gc
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "src"))

from martenrun.platform import DIALECT, SETTINGS_SOURCE
from martenrun.router.process import run_router

if __name__ == "__main__":
    gc.freeze()
    run_router(SETTINGS_SOURCE, DIALECT, Path(__file__).with_name("decisions.toml"))
