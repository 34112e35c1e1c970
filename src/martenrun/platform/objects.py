"""The platform's store: its calls, and the envelopes of its answers.

What an object holds is read in :mod:`martenrun.platform.contents`.  One object that cannot be read
leaves the others of its answer in place.
"""

from typing import Any

import msgspec

from martenrun.router.messages import (
    Dataset,
    HttpCall,
    StoreChanges,
    StoredObject,
    StoreEvent,
    StorePage,
    UnreadableError,
)

_KINDS = {
    Dataset.CONFIGURATION: "config",
    Dataset.RUNNERS: "servers",
    Dataset.WEIGHTS: "versions",
    Dataset.LEASES: "router-leases",
    Dataset.CRASH_RECORDS: "router-blame",
    Dataset.PEER_ADDRESSES: "router-contacts",
}
_ROOT = "/martenrun/objects/"
_JSON = [(b"Content-Type", b"application/json")]
_MS = 1000.0

_DECODE = msgspec.json.Decoder().decode
_ENCODE = msgspec.json.Encoder().encode


def _path(dataset: Dataset, name: str = "") -> str:
    return _ROOT + _KINDS[dataset] + (f"/{name}" if name else "")


def list_objects(dataset: Dataset, after: str | None) -> HttpCall:
    """Return the call for a page of a list."""
    query = f"?after={after}" if after else ""
    return HttpCall(b"GET", (_path(dataset) + query).encode(), [])


def watch_objects(dataset: Dataset, revision: int, wait_s: float) -> HttpCall:
    """Return the call that waits for changes after a revision."""
    query = f"?watch={revision}&wait_ms={int(wait_s * _MS)}"
    return HttpCall(b"GET", (_path(dataset) + query).encode(), [])


def read_object(dataset: Dataset, name: str) -> HttpCall:
    """Return the call that reads one object."""
    return HttpCall(b"GET", _path(dataset, name).encode(), [])


def create_object(dataset: Dataset, name: str, spec: object) -> HttpCall:
    """Return the call that makes an object."""
    body = {"metadata": {"name": name, "finalizers": []}, "spec": spec}
    return HttpCall(b"POST", _path(dataset).encode(), _JSON, _ENCODE(body))


def replace_object(dataset: Dataset, stored: StoredObject, spec: object) -> HttpCall:
    """Return the call that replaces an object if it still has the revision read."""
    metadata = {"name": stored.name, "revision": stored.revision, "finalizers": []}
    body = {"metadata": metadata, "spec": spec}
    return HttpCall(b"PUT", _path(dataset, stored.name).encode(), _JSON, _ENCODE(body))


class _Metadata(msgspec.Struct):
    name: str
    revision: int


class _Object(msgspec.Struct):
    metadata: _Metadata
    spec: Any = None


class _Name(msgspec.Struct):
    name: str


class _NamedObject(msgspec.Struct):
    metadata: _Name


class _Page(msgspec.Struct):
    items: list[msgspec.Raw]
    at: int
    more: bool = False


class _Event(msgspec.Struct):
    object: msgspec.Raw
    gone: bool = False


class _Changes(msgspec.Struct):
    events: list[msgspec.Raw]
    at: int


_PAGE = msgspec.json.Decoder(_Page).decode
_CHANGES = msgspec.json.Decoder(_Changes).decode
_EVENT = msgspec.json.Decoder(_Event).decode
_OBJECT = msgspec.json.Decoder(_Object).decode
_NAMED = msgspec.json.Decoder(_NamedObject).decode

FAULTS = (msgspec.MsgspecError, ValueError, RecursionError)
"""What decoding raises for bytes that are not what they should be."""


def read_page(body: bytes) -> StorePage:
    """Read a page of a list; raises UnreadableError if it is none."""
    try:
        page = _PAGE(body)
    except FAULTS as exc:
        raise UnreadableError(f"no page of a list: {exc}") from exc
    objects = [_tolerant(item, page.at) for item in page.items]
    good = [stored for stored in objects if stored is not None]
    next_after = good[-1].name if page.more and good else None
    return StorePage(tuple(good), page.at, next_after, len(objects) - len(good))


def read_changes(body: bytes) -> StoreChanges:
    """Read the answer of a watch; raises UnreadableError if it is none."""
    try:
        changes = _CHANGES(body)
    except FAULTS as exc:
        raise UnreadableError(f"no answer of a watch: {exc}") from exc
    events = [_event(item, changes.at) for item in changes.events]
    good = tuple(event for event in events if event is not None)
    return StoreChanges(good, changes.at, len(events) - len(good))


def read_stored(body: bytes) -> StoredObject:
    """Read one object; raises UnreadableError if it is none."""
    try:
        return _stored(_OBJECT(body))
    except FAULTS as exc:
        raise UnreadableError(f"no object: {exc}") from exc


def _stored(item: _Object) -> StoredObject:
    return StoredObject(item.metadata.name, item.metadata.revision, item.spec)


def _event(item: msgspec.Raw, at: int) -> StoreEvent | None:
    try:
        event = _EVENT(item)
    except FAULTS:
        return None
    stored = _tolerant(event.object, at)
    return None if stored is None else StoreEvent(stored, event.gone)


def _tolerant(item: msgspec.Raw, at: int) -> StoredObject | None:
    """Read an object of an answer; one of which only the name can be read has no content."""
    try:
        return _stored(_OBJECT(item))
    except FAULTS:
        pass
    try:
        return StoredObject(_NAMED(item).metadata.name, at, None)
    except FAULTS:
        return None
