"""Feeds what is read of the platform's store into the router's knowledge."""

from collections.abc import Callable, Mapping

from martenrun.router.dataset_copy import CopyListener, DatasetCopy
from martenrun.router.knowledge import decoded
from martenrun.router.messages import Dataset, StoredObject
from martenrun.router.metrics import Metrics
from martenrun.router.world import World


class KnowledgeFeed:
    """The copies of the store's datasets, and what becomes of their changes.

    Objects that cannot be read are counted as ``objects_unreadable``.

    Args:
        on_runners_settled: called after changes of runners have been taken in.
    """

    def __init__(
        self, world: World, metrics: Metrics, on_runners_settled: Callable[[], None]
    ) -> None:
        self._world = world
        self._metrics = metrics
        self._newest_revision = 0
        listeners = {
            Dataset.CONFIGURATION: CopyListener(self.put_configuration, _ignored, _nothing),
            Dataset.RUNNERS: CopyListener(
                self._put_runner, world.runners.remove, on_runners_settled
            ),
            Dataset.WEIGHTS: CopyListener(self._put_weights, _ignored, _nothing),
            Dataset.BLAME: CopyListener(self._put_blame, _ignored, _nothing),
        }
        self.copies: Mapping[Dataset, DatasetCopy] = {
            dataset: DatasetCopy(dataset, listener) for dataset, listener in listeners.items()
        }

    def confirm(self) -> None:
        """Take in when the copy of the configuration was last confirmed."""
        confirmed_at = self.copies[Dataset.CONFIGURATION].confirmed_at
        if confirmed_at is not None:
            self._world.configuration.confirm(confirmed_at)

    def put_configuration(self, stored: StoredObject) -> None:
        """Put a configuration in force, unless it cannot be read or a newer one has come."""
        if stored.revision < self._newest_revision:
            return
        self._newest_revision = stored.revision
        configuration = decoded(stored, self._world.dialect.read_configuration)
        if configuration is None:
            self._count_unreadable(Dataset.CONFIGURATION)
            self._world.configuration.note_unreadable()
        else:
            self._world.configuration.take(configuration)

    def _put_runner(self, stored: StoredObject) -> None:
        """Take an entry in; one that cannot be read names no runner, whatever it named before."""
        runner = decoded(stored, self._world.dialect.read_runner)
        if runner is None:
            self._count_unreadable(Dataset.RUNNERS)
            self._world.runners.remove(stored.name)
        else:
            self._world.runners.put(runner)

    def _put_weights(self, stored: StoredObject) -> None:
        wanted = decoded(stored, self._world.dialect.read_weights)
        if wanted is None:
            self._count_unreadable(Dataset.WEIGHTS)
        else:
            self._world.weights.take(wanted, self._world.loop.now())

    def _put_blame(self, stored: StoredObject) -> None:
        records = decoded(stored, self._world.dialect.read_blame)
        if records is None:
            self._count_unreadable(Dataset.BLAME)
        else:
            self._world.suspects.merge_stored(records)

    def _count_unreadable(self, dataset: Dataset) -> None:
        self._metrics.count("objects_unreadable", dataset=dataset.value)


def _ignored(_name: str) -> None:
    return None


def _nothing() -> None:
    return None
