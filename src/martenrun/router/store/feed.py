"""Applies changes in the platform's store to the router's state."""

from collections.abc import Callable, Mapping

from martenrun.router.messages import Dataset, StoredObject
from martenrun.router.metrics import Metrics
from martenrun.router.request_services import RequestServices
from martenrun.router.store.replica import DatasetReplica, ReplicaListener
from martenrun.router.store.state import decode_or_log


class StoreStateFeed:
    """Replicas of the store's datasets, and the handlers of their changes.

    Objects that cannot be decoded are counted as ``objects_unreadable``.

    Args:
        on_runners_settled: called after changes of runners have been applied.
    """

    def __init__(
        self, world: RequestServices, metrics: Metrics, on_runners_settled: Callable[[], None]
    ) -> None:
        self._world = world
        self._metrics = metrics
        self._newest_revision = 0
        listeners = {
            Dataset.CONFIGURATION: ReplicaListener(self.put_configuration, _ignore, _nothing),
            Dataset.RUNNERS: ReplicaListener(
                self._put_runner, world.runners.remove, on_runners_settled
            ),
            Dataset.WEIGHTS: ReplicaListener(self._put_weights, _ignore, _nothing),
            Dataset.CRASH_RECORDS: ReplicaListener(self._put_blame, _ignore, _nothing),
        }
        self.replicas: Mapping[Dataset, DatasetReplica] = {
            dataset: DatasetReplica(dataset, listener) for dataset, listener in listeners.items()
        }

    def confirm(self) -> None:
        """Record when the replica of the configuration was last confirmed."""
        confirmed_at = self.replicas[Dataset.CONFIGURATION].confirmed_at
        if confirmed_at is not None:
            self._world.configuration.confirm(confirmed_at)

    def put_configuration(self, stored: StoredObject) -> None:
        """Put a configuration in force, unless it cannot be decoded or a newer one is known."""
        if stored.revision < self._newest_revision:
            return
        self._newest_revision = stored.revision
        configuration = decode_or_log(stored, self._world.adapter.read_configuration)
        if configuration is None:
            self._count_unreadable(Dataset.CONFIGURATION)
            self._world.configuration.mark_unreadable()
        else:
            self._world.configuration.put(configuration)

    def _put_runner(self, stored: StoredObject) -> None:
        """Update a runner; an entry that cannot be decoded removes the runner it listed before."""
        runner = decode_or_log(stored, self._world.adapter.read_runner)
        if runner is None:
            self._count_unreadable(Dataset.RUNNERS)
            self._world.runners.remove(stored.name)
        else:
            self._world.runners.put(runner)

    def _put_weights(self, stored: StoredObject) -> None:
        target = decode_or_log(stored, self._world.adapter.read_weights)
        if target is None:
            self._count_unreadable(Dataset.WEIGHTS)
        else:
            self._world.weights.put(target, self._world.loop.now())

    def _put_blame(self, stored: StoredObject) -> None:
        records = decode_or_log(stored, self._world.adapter.read_crash_records)
        if records is None:
            self._count_unreadable(Dataset.CRASH_RECORDS)
        else:
            self._world.suspects.merge_stored(records)

    def _count_unreadable(self, dataset: Dataset) -> None:
        self._metrics.count("objects_unreadable", dataset=dataset.value)


def _ignore(_name: str) -> None:
    return None


def _nothing() -> None:
    return None
