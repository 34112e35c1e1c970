"""Settings of native libraries that have to stand before the libraries are loaded or used.

See also: ``docs/design/node-cost.md``.
"""

import ctypes
import os

_BLAS_THREADS = "OPENBLAS_NUM_THREADS"
"""Documented by OpenBLAS, which numpy brings along; an operator's own value is kept."""


def limit_native_threads() -> None:
    """Have numpy's linear algebra start no threads; call it before numpy is imported.

    Neither nodes nor agents use it, and its threads spin while they wait for work: importing
    numpy would take more than twice the processor time on a machine with 12 cores.
    """
    os.environ.setdefault(_BLAS_THREADS, "1")


_MMAP_THRESHOLD = "MALLOC_MMAP_THRESHOLD_"
"""Documented by the GNU C library; an operator's own value is kept."""

_M_TRIM_THRESHOLD = -1
_M_MMAP_THRESHOLD = -3
"""Numbers of the settings for ``mallopt``."""

MAPPED_BLOCK_BYTES = 288 * 1_024
"""Blocks of this size and above are mapped on their own, and given back when they are freed.

Above the arrays of a walk over the index of blocks, which would be mapped anew with each step, and
not above a dictionary of 10,000 entries.
"""

KEPT_TOP_BYTES = 2 * 1_048_576
"""Free memory at the end of the heap that is kept, for arrays that come and go."""


def give_back_large_blocks() -> None:
    """Have the C library keep to a threshold for blocks that it maps on their own.

    By itself it raises the threshold to the largest block that was freed: dictionaries of
    thousands of entries, made anew with each change, would then leave holes between small blocks.
    A C library without the setting is left as it is.
    """
    if _MMAP_THRESHOLD in os.environ:
        return
    set_option = getattr(ctypes.CDLL(None), "mallopt", None)
    if set_option is not None:
        set_option(_M_MMAP_THRESHOLD, MAPPED_BLOCK_BYTES)
        set_option(_M_TRIM_THRESHOLD, KEPT_TOP_BYTES)
