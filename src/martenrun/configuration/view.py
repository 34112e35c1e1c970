"""An immutable view of the configuration in force, safe to read from any thread."""

import hashlib
import hmac
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import TypeVar

from martenrun.configuration.objects import (
    ApiKey,
    Assignment,
    Document,
    Drain,
    DrainRole,
    Kind,
    Pool,
    Route,
    Tenant,
)
from martenrun.errors import InvalidKeyError, NotReadyError, UnknownModelError

FIRST_COPY_RETRY_AFTER_S = 1.0
"""When to come back to a process that has no configuration yet, in seconds."""


@dataclass(frozen=True)
class RoutedPool:
    """A pool together with its name."""

    name: str
    pool: Pool


@dataclass(frozen=True)
class ConfigurationView:
    """Typed look-ups over the documents of one revision.

    The view of a process that has no copy yet has revision 0.  It knows nothing, so its
    look-ups raise NotReadyError and never say that something does not exist.
    """

    revision: int = 0
    documents: Mapping[tuple[Kind, str], Document] = field(default_factory=dict)
    keys: Mapping[str, ApiKey] = field(default_factory=dict)
    routes_by_name: Mapping[str, Route] = field(default_factory=dict)
    routes_by_model: Mapping[str, tuple[Route, ...]] = field(default_factory=dict)
    drains: Mapping[str, Drain] = field(default_factory=dict)
    pools: Mapping[str, Pool] = field(default_factory=dict)
    assignments: Mapping[str, Assignment] = field(default_factory=dict)

    @classmethod
    def build(
        cls, revision: int, documents: Mapping[tuple[Kind, str], Document]
    ) -> "ConfigurationView":
        """Return the view of some documents."""
        return cls().changed(revision, documents)

    def changed(
        self, revision: int, changes: Mapping[tuple[Kind, str], Document | None]
    ) -> "ConfigurationView":
        """Return the view of a later revision; None removes a document.

        Only the indexes that the changes touch are made anew: most changes concern one of
        thousands of documents.
        """
        documents = dict(self.documents)
        for key, document in changes.items():
            documents.pop(key, None)
            if document is not None:
                documents[key] = document
        kinds = {kind for kind, _name in changes}
        routes = self.routes_by_name
        if Kind.ROUTE in kinds:
            routes = _documents_of(Kind.ROUTE, Route, self.routes_by_name, changes)
        drains = self.drains
        if Kind.DRAIN in kinds:
            drains = _documents_of(Kind.DRAIN, Drain, self.drains, changes)
        pools = self.pools
        if Kind.POOL in kinds:
            pools = _documents_of(Kind.POOL, Pool, pools, changes)
        assignments = self.assignments
        if Kind.ASSIGNMENT in kinds:
            assignments = _documents_of(Kind.ASSIGNMENT, Assignment, assignments, changes)
        by_model = self.routes_by_model if Kind.ROUTE not in kinds else _by_model(routes)
        keys = self.keys if Kind.API_KEY not in kinds else self._changed_keys(documents, changes)
        return ConfigurationView(
            revision, documents, keys, routes, by_model, drains, pools, assignments
        )

    def _changed_keys(
        self,
        documents: Mapping[tuple[Kind, str], Document],
        changes: Mapping[tuple[Kind, str], Document | None],
    ) -> Mapping[str, ApiKey]:
        keys = dict(self.keys)
        for key, document in changes.items():
            before = self.documents.get(key)
            if isinstance(document, ApiKey):
                keys[document.key_sha256] = document
            if isinstance(before, ApiKey) and not _has_digest(document, before.key_sha256):
                # Another object may hold the same digest.
                return _keys_of(documents)
        return keys

    def key_of(self, token: str) -> ApiKey:
        """Return the key object of a bearer token; raises InvalidKeyError.

        The look-up is by the token's SHA-256, which nobody can choose, and the comparison
        takes the same time for every key.
        """
        self._check_known()
        digest = hashlib.sha256(token.encode()).hexdigest()
        found = self.keys.get(digest)
        if found is None or not hmac.compare_digest(found.key_sha256, digest):
            raise InvalidKeyError("the API key is missing, unknown or revoked")
        if found.retired:
            raise InvalidKeyError("the API key is retired; use the tenant's newer key")
        return found

    def tenant(self, name: str) -> Tenant:
        """Return a tenant; raises InvalidKeyError if its key outlived it."""
        self._check_known()
        found = self.documents.get((Kind.TENANT, name))
        if not isinstance(found, Tenant):
            raise InvalidKeyError(f"tenant {name!r} does not exist")
        return found

    def pool(self, name: str) -> Pool | None:
        """Return a pool, or None if there is none of the name."""
        return self.pools.get(name)

    def pool_of_runner(self, runner: str, listed_pool: str) -> str:
        """Return the name of the pool that a runner belongs to.

        That is the assigned one, else the machine list's.  An assignment to a pool that does not
        exist selects nothing.
        """
        assignment = self.assignments.get(runner)
        if assignment is None or assignment.pool is None or self.pool(assignment.pool) is None:
            return listed_pool
        return assignment.pool

    def is_moving(self, runner: str) -> bool:
        """Return whether a runner is assigned to a pool that it does not serve yet."""
        assignment = self.assignments.get(runner)
        return assignment is not None and not assignment.arrived

    def drained(self, role: DrainRole) -> frozenset[str]:
        """Return the names of the machines of a role that operators drain."""
        return frozenset(name for name, drain in self.drains.items() if drain.role is role)

    def routes(self, tenant: str) -> dict[str, RoutedPool]:
        """Return the pool of every model that a tenant may use, by model."""
        self._check_known()
        found = {model: self._routed(tenant, model) for model in self.routes_by_model}
        return {model: routed for model, routed in found.items() if routed is not None}

    def route(self, tenant: str, model: str) -> RoutedPool:
        """Return the pool that serves a model for a tenant; raises UnknownModelError."""
        self._check_known()
        found = self._routed(tenant, model)
        if found is None:
            raise UnknownModelError(f"no route of tenant {tenant!r} names model {model!r}")
        return found

    def _check_known(self) -> None:
        if self.revision == 0:
            raise NotReadyError(
                "no configuration has arrived yet", retry_after_s=FIRST_COPY_RETRY_AFTER_S
            )

    def _routed(self, tenant: str, model: str) -> RoutedPool | None:
        # The route published last decides.
        for route in reversed(self.routes_by_model.get(model, ())):
            pool = self.documents.get((Kind.POOL, route.pool))
            allowed = not route.tenants or tenant in route.tenants
            if allowed and isinstance(pool, Pool):
                return RoutedPool(route.pool, pool)
        return None


DocumentType = TypeVar("DocumentType", bound=Document)


def _documents_of(
    kind: Kind,
    document_type: type[DocumentType],
    present: Mapping[str, DocumentType],
    changes: Mapping[tuple[Kind, str], Document | None],
) -> dict[str, DocumentType]:
    """Return the documents of a kind by name; changed ones come last."""
    found = dict(present)
    for (changed_kind, name), document in changes.items():
        if changed_kind is kind:
            found.pop(name, None)
            if isinstance(document, document_type):
                found[name] = document
    return found


def _has_digest(document: Document | None, digest: str) -> bool:
    return isinstance(document, ApiKey) and document.key_sha256 == digest


def _keys_of(documents: Mapping[tuple[Kind, str], Document]) -> dict[str, ApiKey]:
    found = [item for item in documents.values() if isinstance(item, ApiKey)]
    return {item.key_sha256: item for item in found}


def _by_model(routes: Mapping[str, Route]) -> dict[str, tuple[Route, ...]]:
    found: dict[str, list[Route]] = {}
    for route in routes.values():
        found.setdefault(route.model, []).append(route)
    return {model: tuple(entries) for model, entries in found.items()}
