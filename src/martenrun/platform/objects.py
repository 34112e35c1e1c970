"""The platform's store: its calls, and the envelopes of its responses.

The specs of objects are converted in :mod:`martenrun.platform.specs`.  An object that cannot be
decoded does not affect the other objects of its response.
"""

from typing import Any

import msgspec

from martenrun.net.http import Headers, find_header
from martenrun.platform.fields import DECODE_ERRORS
from martenrun.router.messages import (
    Dataset,
    HttpCall,
    StoreChanges,
    StoredObject,
    StoreEvent,
    StorePage,
    StorePosition,
    UnreadableError,
)

_KIND_BY_DATASET = {
    Dataset.CONFIGURATION: "config",
    Dataset.RUNNERS: "servers",
    Dataset.WEIGHTS: "versions",
    Dataset.LEASES: "router-leases",
    Dataset.CRASH_RECORDS: "router-blame",
    Dataset.PEER_ADDRESSES: "router-contacts",
    Dataset.SOFTWARE_VERSIONS: "router-software",
}
_ROOT_PATH = "/martenrun/objects/"
_JSON_HEADERS = [(b"Content-Type", b"application/json")]
_MS_PER_S = 1000.0
_ERA_FIELD = b"store-era"
_MAX_ERA_DIGITS = 9

_DECODE = msgspec.json.Decoder().decode
_ENCODE = msgspec.json.Encoder().encode


def _path(dataset: Dataset, name: str = "") -> str:
    return _ROOT_PATH + _KIND_BY_DATASET[dataset] + (f"/{name}" if name else "")


def read_era(headers: Headers) -> int | None:
    """Return the era that a response of the store names; None if it is missing or invalid."""
    text = find_header(headers, _ERA_FIELD)
    text = b"" if text is None else text.strip()
    if not text.isdigit() or len(text) > _MAX_ERA_DIGITS:
        return None
    return int(text) or None


def list_objects(dataset: Dataset, after: str | None) -> HttpCall:
    """Return the call that lists a page of a dataset."""
    query = f"?after={after}" if after else ""
    return HttpCall(b"GET", (_path(dataset) + query).encode(), [])


def watch_objects(dataset: Dataset, revision: int, wait_s: float) -> HttpCall:
    """Return the call that waits for changes after a revision."""
    query = f"?watch={revision}&wait_ms={int(wait_s * _MS_PER_S)}"
    return HttpCall(b"GET", (_path(dataset) + query).encode(), [])


def read_object(dataset: Dataset, name: str) -> HttpCall:
    """Return the call that reads one object."""
    return HttpCall(b"GET", _path(dataset, name).encode(), [])


def create_object(dataset: Dataset, name: str, spec: object) -> HttpCall:
    """Return the call that creates an object."""
    body = {"metadata": {"name": name, "finalizers": []}, "spec": spec}
    return HttpCall(b"POST", _path(dataset).encode(), _JSON_HEADERS, _ENCODE(body))


def replace_object(dataset: Dataset, stored: StoredObject, spec: object) -> HttpCall:
    """Return the call that replaces an object if its revision is still the one read."""
    metadata = {"name": stored.name, "revision": stored.revision, "finalizers": []}
    body = {"metadata": metadata, "spec": spec}
    return HttpCall(b"PUT", _path(dataset, stored.name).encode(), _JSON_HEADERS, _ENCODE(body))


class _Metadata(msgspec.Struct):
    name: str
    revision: int


class _Object(msgspec.Struct):
    metadata: _Metadata
    spec: Any = None


class _NameOnly(msgspec.Struct):
    name: str


class _NamedObject(msgspec.Struct):
    metadata: _NameOnly


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


_DECODE_PAGE = msgspec.json.Decoder(_Page).decode
_DECODE_CHANGES = msgspec.json.Decoder(_Changes).decode
_DECODE_EVENT = msgspec.json.Decoder(_Event).decode
_DECODE_OBJECT = msgspec.json.Decoder(_Object).decode
_DECODE_NAMED_OBJECT = msgspec.json.Decoder(_NamedObject).decode


def read_page(body: bytes, era: int) -> StorePage:
    """Decode a page of a list read in an era; raises UnreadableError if it is invalid."""
    try:
        page = _DECODE_PAGE(body)
    except DECODE_ERRORS as exc:
        raise UnreadableError(f"invalid page of a list: {exc}") from exc
    position = StorePosition(era, page.at)
    objects = [_decode_item(item, position) for item in page.items]
    readable = [stored for stored in objects if stored is not None]
    next_after = readable[-1].name if page.more and readable else None
    return StorePage(tuple(readable), position, next_after, len(objects) - len(readable))


def read_changes(body: bytes, era: int) -> StoreChanges:
    """Decode the response of a watch in an era; raises UnreadableError if it is invalid."""
    try:
        changes = _DECODE_CHANGES(body)
    except DECODE_ERRORS as exc:
        raise UnreadableError(f"invalid watch response: {exc}") from exc
    position = StorePosition(era, changes.at)
    events = [_decode_event(item, position) for item in changes.events]
    readable = tuple(event for event in events if event is not None)
    return StoreChanges(readable, position, len(events) - len(readable))


def read_stored(body: bytes, era: int) -> StoredObject:
    """Decode one object read in an era; raises UnreadableError if it is invalid."""
    try:
        return _stored_object(_DECODE_OBJECT(body), era)
    except DECODE_ERRORS as exc:
        raise UnreadableError(f"invalid object: {exc}") from exc


def _stored_object(item: _Object, era: int) -> StoredObject:
    return StoredObject(item.metadata.name, item.metadata.revision, item.spec, era)


def _decode_event(item: msgspec.Raw, position: StorePosition) -> StoreEvent | None:
    try:
        event = _DECODE_EVENT(item)
    except DECODE_ERRORS:
        return None
    stored = _decode_item(event.object, position)
    return None if stored is None else StoreEvent(stored, event.gone)


def _decode_item(item: msgspec.Raw, position: StorePosition) -> StoredObject | None:
    """Decode an object of a list; without a spec if only its name is valid, else None."""
    try:
        return _stored_object(_DECODE_OBJECT(item), position.era)
    except DECODE_ERRORS:
        pass
    try:
        name = _DECODE_NAMED_OBJECT(item).metadata.name
        return StoredObject(name, position.revision, None, position.era)
    except DECODE_ERRORS:
        return None
