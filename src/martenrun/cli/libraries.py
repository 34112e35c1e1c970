"""Settings of native libraries that have to stand before the libraries are loaded.

See also: ``docs/design/node-cost.md``.
"""

import os

_BLAS_THREADS = "OPENBLAS_NUM_THREADS"
"""Documented by OpenBLAS, which numpy brings along; an operator's own value is kept."""


def limit_native_threads() -> None:
    """Have numpy's linear algebra start no threads; call it before numpy is imported.

    Neither nodes nor agents use it, and its threads spin while they wait for work: importing
    numpy would take more than twice the processor time on a machine with 12 cores.
    """
    os.environ.setdefault(_BLAS_THREADS, "1")
