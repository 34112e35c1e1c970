"""The platform's store: its calls, and the envelopes of its responses.

The specs of objects are converted in :mod:`martenrun.platform.specs`.  An object that cannot be
decoded does not affect the other objects of its response; one beyond the limits of
:mod:`martenrun.platform.nesting` has no spec.
"""

from typing import Any, TypeVar
from urllib.parse import quote

import msgspec

from martenrun.net.http import Headers, find_header
from martenrun.platform.fields import DECODE_ERRORS, Count, Name
from martenrun.platform.nesting import is_within_limits, limit_nesting, repair_response
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
    query = f"?after={quote(after, safe='')}" if after else ""
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
    name: Name
    revision: Count


class _Object(msgspec.Struct):
    metadata: _Metadata
    spec: Any = None


class _ObjectWithoutSpec(msgspec.Struct):
    metadata: _Metadata


class _NameOnly(msgspec.Struct):
    name: Name


class _NamedObject(msgspec.Struct):
    metadata: _NameOnly


class _Page(msgspec.Struct):
    items: list[msgspec.Raw]
    at: Count
    more: bool = False


class _Event(msgspec.Struct):
    object: msgspec.Raw
    gone: bool = False


class _Changes(msgspec.Struct):
    events: list[msgspec.Raw]
    at: Count


_DECODE_EVENT = msgspec.json.Decoder(_Event).decode
_DECODE_OBJECT_WITHOUT_SPEC = msgspec.json.Decoder(_ObjectWithoutSpec).decode
_DECODE_NAMED_OBJECT = msgspec.json.Decoder(_NamedObject).decode

_Response = TypeVar("_Response", _Page, _Changes)


def read_page(body: bytes, era: int) -> StorePage:
    """Decode a page of a list read in an era; raises UnreadableError if it is invalid."""
    page, is_repaired = _decode_response(body, _Page, "page of a list")
    position = StorePosition(era, page.at)
    objects = [_decode_item(item, position) for item in page.items]
    readable = [stored for stored in objects if stored is not None]
    if page.more and not readable:
        raise UnreadableError("invalid page of a list: no name after which the next one starts")
    # Objects after the last readable name are listed again by the next page.
    next_after = readable[-1].name if page.more else None
    unreadable = len(objects) - len(readable)
    return StorePage(tuple(readable), position, next_after, unreadable, is_repaired)


def read_changes(body: bytes, era: int) -> StoreChanges:
    """Decode the response of a watch in an era; raises UnreadableError if it is invalid."""
    changes, is_repaired = _decode_response(body, _Changes, "watch response")
    position = StorePosition(era, changes.at)
    events = [_decode_event(item, position) for item in changes.events]
    readable = tuple(event for event in events if event is not None)
    return StoreChanges(readable, position, len(events) - len(readable), is_repaired)


def _decode_response(body: bytes, schema: type[_Response], subject: str) -> tuple[_Response, bool]:
    """Decode a response, and say whether it had to be repaired; raises UnreadableError."""
    try:
        return msgspec.json.decode(body, type=schema), False
    except DECODE_ERRORS as exc:
        fault = exc
    repaired = repair_response(body)
    try:
        if repaired is not None:
            return msgspec.json.decode(repaired, type=schema), True
    except DECODE_ERRORS as exc:
        fault = exc
    raise UnreadableError(f"invalid {subject}: {fault}") from fault


def read_stored(body: bytes, era: int) -> StoredObject:
    """Decode one object read in an era; without a spec if that is beyond the limits.

    Raises UnreadableError if its metadata is invalid.
    """
    try:
        return _decode_object(body, era)
    except DECODE_ERRORS:
        pass
    try:
        return _decode_without_spec(limit_nesting(body), era)
    except DECODE_ERRORS as exc:
        raise UnreadableError(f"invalid object: {exc}") from exc


def _decode_object(body: bytes | msgspec.Raw, era: int) -> StoredObject:
    """Decode an object; raises one of DECODE_ERRORS, also if a part of it is beyond the limits."""
    value = _DECODE(body)
    if not is_within_limits(value):
        raise ValueError("nested too deep, or an integer is out of range")
    item = msgspec.convert(value, _Object)
    return StoredObject(item.metadata.name, item.metadata.revision, item.spec, era)


def _decode_without_spec(body: bytes, era: int) -> StoredObject:
    metadata = _DECODE_OBJECT_WITHOUT_SPEC(body).metadata
    return StoredObject(metadata.name, metadata.revision, None, era)


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
        return _decode_object(item, position.era)
    except DECODE_ERRORS:
        pass
    try:
        name = _DECODE_NAMED_OBJECT(limit_nesting(bytes(item))).metadata.name
        return StoredObject(name, position.revision, None, position.era)
    except DECODE_ERRORS:
        return None
