"""The CEL library without its command line.

Importing the package ``cel`` also imports its interactive command line (typer, rich and
prompt_toolkit): on a restart a node would spend time and memory on code it never runs.  The
compiled module inside the package offers everything that policies need.

See also: :mod:`martenrun.sharing.policy`.
"""

import importlib.util
import sys
from importlib.machinery import PathFinder
from types import ModuleType

_PACKAGE = "cel"
_MODULE = "cel.cel"


def load_cel() -> ModuleType:
    """Return the library's compiled module; raises ImportError if it is not installed."""
    loaded = sys.modules.get(_MODULE)
    if loaded is not None:
        return loaded
    package = importlib.util.find_spec(_PACKAGE)
    places = None if package is None else package.submodule_search_locations
    spec = PathFinder.find_spec(_MODULE, places) if places else None
    if spec is None or spec.loader is None:
        raise ImportError("the package common-expression-language is not installed")
    module = importlib.util.module_from_spec(spec)
    # Registered so that a later import of the package shares this module.
    sys.modules[_MODULE] = module
    spec.loader.exec_module(module)
    return module
