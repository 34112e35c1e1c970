"""Checks of references between configuration objects, before a change is accepted.

The objects are read from the object API, because the copy in force here may be seconds old.
The object API has no transactions over several objects: a reference published while its
target is being deleted may dangle, and then selects nothing.
"""

from collections.abc import Iterator
from dataclasses import dataclass

from martenrun.backends.object_api import ObjectApi
from martenrun.configuration.objects import (
    ApiKey,
    Assignment,
    Document,
    Kind,
    Pool,
    Route,
    parse_document,
)
from martenrun.errors import InvalidObjectError, ObjectInUseError, ObjectNotFoundError

_REFERRING: dict[Kind, tuple[Kind, ...]] = {
    Kind.POOL: (Kind.ROUTE, Kind.ASSIGNMENT),
    Kind.POLICY: (Kind.POOL,),
    Kind.TENANT: (Kind.API_KEY,),
}
"""Kinds that can be in use, and the kinds that refer to them."""


@dataclass(frozen=True, slots=True)
class Reference:
    """A field of a document that names another object."""

    field: str
    kind: Kind
    name: str


def references_of(document: Document) -> Iterator[Reference]:
    """Return what a document refers to."""
    if isinstance(document, ApiKey):
        yield Reference("tenant", Kind.TENANT, document.tenant)
    if isinstance(document, Pool) and document.policy is not None:
        yield Reference("policy", Kind.POLICY, document.policy)
    if isinstance(document, Assignment) and document.pool is not None:
        yield Reference("pool", Kind.POOL, document.pool)
    if isinstance(document, Route):
        yield Reference("pool", Kind.POOL, document.pool)
        for tenant in document.tenants:
            yield Reference("tenants", Kind.TENANT, tenant)


def check_references(store: ObjectApi, document: Document) -> None:
    """Raise InvalidObjectError, naming every object that is referred to and does not exist."""
    missing = [
        f"{reference.field}: {reference.kind.value}/{reference.name} does not exist"
        for reference in references_of(document)
        if not _exists(store, reference)
    ]
    if missing:
        raise InvalidObjectError("; ".join(missing), remedy="Publish what it refers to first.")


def check_unused(store: ObjectApi, kind: Kind, name: str) -> None:
    """Raise ObjectInUseError if other objects refer to the one about to be deleted."""
    if kind not in _REFERRING:
        return
    users = []
    for item in store.list_all([referring.value for referring in _REFERRING[kind]]).objects:
        if _refers(Kind(item.kind), item.document, kind, name):
            users.append(f"{item.kind}/{item.name}")
    if users:
        shown = ", ".join(users[:10])
        raise ObjectInUseError(f"{kind.value}/{name} is used by {len(users)} objects: {shown}")


def _refers(referring: Kind, data: bytes, kind: Kind, name: str) -> bool:
    try:
        references = references_of(parse_document(referring, data))
    except InvalidObjectError:
        # Written past the administration API; it selects nothing.
        return False
    return any(reference.kind is kind and reference.name == name for reference in references)


def _exists(store: ObjectApi, reference: Reference) -> bool:
    try:
        store.get(reference.kind.value, reference.name)
    except ObjectNotFoundError:
        return False
    return True
