"""Driver threads that carry out SendExport."""

from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor

from martenrun.backends.kv_transfers import KvTransfers, TransferDirection
from martenrun.events import Event, ExportEnded, SendExport

EXPORT_WORKERS = 4
"""Exports on their way at a time, per process."""


class ExportWorkers:
    """Orders exports of engines and tells the loop what became of them."""

    def __init__(self, transfers: KvTransfers, tell: Callable[[Event], None]) -> None:
        self._transfers = transfers
        self._tell = tell
        self._threads = ThreadPoolExecutor(EXPORT_WORKERS, thread_name_prefix="exports")

    def carry(self, instruction: SendExport) -> None:
        """Start an export; its ExportEnded follows."""
        self._threads.submit(self._send, instruction)

    def stop(self) -> None:
        """Wait for no further exports."""
        self._threads.shutdown(wait=False, cancel_futures=True)

    def _send(self, instruction: SendExport) -> None:
        address, transfer = instruction.address, instruction.transfer
        blocks = self._transfers.move(address, TransferDirection.EXPORT, transfer)
        self._tell(ExportEnded(instruction.runner, transfer, blocks))
