"""The object API as the administration API calls it, in virtual time."""

import random
from collections.abc import Iterable

import msgspec

from martenrun.backends.object_api import ObjectApi
from martenrun.errors import (
    ChangeOutcomeUnknownError,
    ObjectNotFoundError,
    StoreUnavailableError,
    VersionConflictError,
)
from martenrun.simulation.store import SimulatedStore
from martenrun.standins.object_store import StoredObject
from martenrun.wire.messages import ConfigurationObject, ConfigurationUpdate

NOT_READ_BACK_SHARE = 0.5
"""Share of lost answers that cannot be read back in time either."""


class SimulatedObjectApi(ObjectApi):
    """Calls a simulated store at once; the adapter's reading back always ends in no time.

    Args:
        process: name of the process that calls; it may be cut off from the store.
    """

    def __init__(self, store: SimulatedStore, rng: random.Random, process: str) -> None:
        self._simulated = store
        self._process = process
        self._rng = rng

    def list_all(self, kinds: Iterable[str] = ()) -> ConfigurationUpdate:
        """Return a complete copy of some kinds, or of all."""
        self._check_up()
        found = self._simulated.store.list_all(frozenset(kinds))
        objects = [_converted(item) for item in found.objects]
        return ConfigurationUpdate(0, found.revision, objects, complete=True)

    def list_page(self, kind: str, after_name: str, limit: int) -> list[ConfigurationObject]:
        """Return the first objects of a kind whose names come after one, in order."""
        self._check_up()
        found = self._simulated.store.list_page(kind, after_name, limit)
        return [_converted(item) for item in found.objects]

    def get(self, kind: str, name: str) -> ConfigurationObject:
        """Return one object; raises ObjectNotFoundError."""
        self._check_up()
        found = self._simulated.store.get(kind, name)
        if found is None or found.deleted:
            raise ObjectNotFoundError(f"{kind}/{name} does not exist")
        return _converted(found)

    def write(self, kind: str, name: str, expected: int, document: bytes | None) -> int:
        """Compare-and-swap an object; see the real adapter for errors."""
        self._check_up()
        before = self._version(kind, name)
        version = self._simulated.write(kind, name, expected, document)
        if before != expected:
            message = f"{kind}/{name} has version {version}, not {expected}"
            raise VersionConflictError(message, present_version=version)
        is_lost = self._rng.random() < self._simulated.faults.lose_write_probability
        if is_lost and self._rng.random() < NOT_READ_BACK_SHARE:
            raise ChangeOutcomeUnknownError("the answer was lost")
        return version

    def _version(self, kind: str, name: str) -> int:
        found = self._simulated.store.get(kind, name)
        return 0 if found is None or found.deleted else found.version

    def _check_up(self) -> None:
        if self._simulated.fails_for(self._process):
            raise StoreUnavailableError("the object API did not answer")


def _converted(item: StoredObject) -> ConfigurationObject:
    document = msgspec.json.encode(item.document)
    return ConfigurationObject(item.kind, item.name, item.version, item.deleted, document)
