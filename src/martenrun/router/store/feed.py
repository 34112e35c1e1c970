"""Applies changes in the platform's store to the router's state."""

from collections.abc import Callable, Mapping

from martenrun.net.periodic import call_safely
from martenrun.router.messages import Dataset, StoredObject, StorePosition, UnreadableError
from martenrun.router.metrics import Metrics
from martenrun.router.request_services import RequestServices
from martenrun.router.store.eras import StoreEras
from martenrun.router.store.replica import DatasetReplica, ReplicaListener
from martenrun.router.store.state import decode_or_log


class StoreStateFeed:
    """Replicas of the store's datasets, and the handlers of their changes.

    Objects that cannot be decoded are counted as ``objects_unreadable``.

    Args:
        on_runners_settled: called after changes of runners have been applied.
        eras: the eras of the store.
    """

    def __init__(
        self,
        world: RequestServices,
        metrics: Metrics,
        on_runners_settled: Callable[[], None],
        eras: StoreEras | None = None,
    ) -> None:
        self._world = world
        self._metrics = metrics
        self._newest_position = StorePosition(0, 0)
        version = world.adapter.read_version
        listeners = {
            Dataset.CONFIGURATION: ReplicaListener(
                self.put_configuration, _ignore, _nothing, _by_version(version), keeps_lost=True
            ),
            Dataset.RUNNERS: ReplicaListener(
                self._put_runner, world.runners.remove, on_runners_settled, self._by_drain
            ),
            Dataset.WEIGHTS: ReplicaListener(
                self._put_weights, _ignore, _nothing, _by_version(version), keeps_lost=True
            ),
            Dataset.CRASH_RECORDS: ReplicaListener(
                # Records are merged, so that an older object takes none back.
                self._put_blame,
                _ignore,
                _nothing,
                lambda _later, _earlier: True,
            ),
        }
        self.replicas: Mapping[Dataset, DatasetReplica] = {
            dataset: DatasetReplica(dataset, listener, eras)
            for dataset, listener in listeners.items()
        }

    def confirm(self) -> None:
        """Record when the replica of the configuration was last confirmed."""
        confirmed_at = self.replicas[Dataset.CONFIGURATION].confirmed_at
        if confirmed_at is not None:
            self._world.configuration.confirm(confirmed_at)

    def put_configuration(self, stored: StoredObject) -> None:
        """Put a configuration in force, unless it cannot be decoded or a newer one is known."""
        newest = self._newest_position
        if stored.era == newest.era and stored.position < newest:
            return
        self._newest_position = stored.position
        configuration = decode_or_log(stored, self._world.adapter.read_configuration)
        put = self._world.configuration.put
        if configuration is None or not call_safely("put", put, configuration, stored.era):
            self._count_unreadable(Dataset.CONFIGURATION)
            self._world.configuration.mark_unreadable()

    def is_in_force(self, stored: StoredObject) -> bool:
        """Return whether a stored configuration is not older than the one in force."""
        version = self._world.adapter.read_version(stored)
        return version is not None and version >= self._world.configuration.version

    def _put_runner(self, stored: StoredObject) -> None:
        """Update a runner; an entry that cannot be decoded removes the runner it listed before."""
        runner = decode_or_log(stored, self._world.adapter.read_runner)
        if runner is None or not call_safely("put", self._world.runners.put, runner):
            self._count_unreadable(Dataset.RUNNERS)
            self._world.runners.remove(stored.name)

    def _by_drain(self, later: StoredObject, earlier: StoredObject) -> bool | None:
        """Return whether the later entry of one instance drains; None unless only one of both."""
        adapter = self._world.adapter
        try:
            new, known = adapter.read_runner(later), adapter.read_runner(earlier)
        except UnreadableError:
            return None
        if new.instance != known.instance or new.is_draining == known.is_draining:
            return None
        return new.is_draining

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


def _by_version(
    read_version: Callable[[StoredObject], int | None],
) -> Callable[[StoredObject, StoredObject], bool | None]:
    """Return the order of objects whose versions only rise; undecided if one cannot be read."""

    def supersedes(later: StoredObject, earlier: StoredObject) -> bool | None:
        new, known = read_version(later), read_version(earlier)
        return None if new is None or known is None else new >= known

    return supersedes


def _ignore(_name: str) -> None:
    return None


def _nothing() -> None:
    return None
