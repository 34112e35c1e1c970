"""Driver that carries out StoreWatch with the object API."""

import threading
from collections.abc import Callable

from absl import logging

from martenrun.backends.object_api import ObjectApi
from martenrun.configuration.objects import REPLICATED_KINDS
from martenrun.errors import WatchCompactedError
from martenrun.events import Event, StoreWatch, StoreWatched, WatchOutcome
from martenrun.wire.messages import ConfigurationUpdate

WATCH_WAIT_S = 5.0
"""How long the object API may hold a watch without changes, in seconds."""


class WatchWorker:
    """A driver thread for each watch; the decision logic has one watch at a time."""

    def __init__(self, store: ObjectApi, tell: Callable[[Event], None]) -> None:
        self._store = store
        self._tell = tell

    def carry(self, instruction: StoreWatch) -> None:
        """Start a watch; its StoreWatched follows."""
        # A daemon thread: stopping the process does not wait for the object API.
        threading.Thread(
            target=lambda: self._tell(self._watch(instruction.after)),
            name="store-watch",
            daemon=True,
        ).start()

    def _watch(self, after: int) -> StoreWatched:
        try:
            if after < 0:
                update = self._store.list_all(REPLICATED_KINDS)
            else:
                update = self._store.changes(after, WATCH_WAIT_S, REPLICATED_KINDS)
        except WatchCompactedError:
            return StoreWatched(WatchOutcome.COMPACTED, ConfigurationUpdate())
        except Exception as error:
            logging.log_every_n_seconds(logging.WARNING, "watch failed: %s", 5, error)
            return StoreWatched(WatchOutcome.UNAVAILABLE, ConfigurationUpdate())
        return StoreWatched(WatchOutcome.CHANGES, update)
