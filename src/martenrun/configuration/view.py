"""An immutable view of the configuration in force, safe to read from any thread."""

import hashlib
import hmac
from collections.abc import Mapping
from dataclasses import dataclass, field

from martenrun.configuration.objects import (
    ApiKey,
    Document,
    Drain,
    DrainRole,
    Kind,
    Pool,
    Route,
    Tenant,
)
from martenrun.errors import InvalidKeyError, UnknownModelError


@dataclass(frozen=True)
class RoutedPool:
    """A pool together with its name."""

    name: str
    pool: Pool


@dataclass(frozen=True)
class ConfigurationView:
    """Typed look-ups over the documents of one revision."""

    revision: int = 0
    documents: Mapping[tuple[Kind, str], Document] = field(default_factory=dict)
    keys: Mapping[str, ApiKey] = field(default_factory=dict)
    routes_by_model: Mapping[str, tuple[Route, ...]] = field(default_factory=dict)

    @classmethod
    def build(
        cls, revision: int, documents: Mapping[tuple[Kind, str], Document]
    ) -> "ConfigurationView":
        """Copy the documents and index keys by their digest and routes by their model."""
        keys: dict[str, ApiKey] = {}
        routes: dict[str, tuple[Route, ...]] = {}
        for document in documents.values():
            if isinstance(document, ApiKey):
                keys[document.key_sha256] = document
            elif isinstance(document, Route):
                routes[document.model] = (*routes.get(document.model, ()), document)
        return cls(revision, dict(documents), keys, routes)

    def key_of(self, token: str) -> ApiKey:
        """Return the key object of a bearer token; raises InvalidKeyError.

        The look-up is by the token's SHA-256, which nobody can choose, and the comparison
        takes the same time for every key.
        """
        digest = hashlib.sha256(token.encode()).hexdigest()
        found = self.keys.get(digest)
        if found is None or not hmac.compare_digest(found.key_sha256, digest):
            raise InvalidKeyError("the API key is missing, unknown or revoked")
        if found.retired:
            raise InvalidKeyError("the API key is retired; use the tenant's newer key")
        return found

    def tenant(self, name: str) -> Tenant:
        """Return a tenant; raises InvalidKeyError if its key outlived it."""
        found = self.documents.get((Kind.TENANT, name))
        if not isinstance(found, Tenant):
            raise InvalidKeyError(f"tenant {name!r} does not exist")
        return found

    def drained(self, role: DrainRole) -> frozenset[str]:
        """Return the names of the machines of a role that operators drain."""
        return frozenset(
            name
            for (_kind, name), document in self.documents.items()
            if isinstance(document, Drain) and document.role is role
        )

    def routes(self, tenant: str) -> dict[str, RoutedPool]:
        """Return the pool of every model that a tenant may use, by model."""
        found = {model: self._routed(tenant, model) for model in self.routes_by_model}
        return {model: routed for model, routed in found.items() if routed is not None}

    def route(self, tenant: str, model: str) -> RoutedPool:
        """Return the pool that serves a model for a tenant; raises UnknownModelError."""
        found = self._routed(tenant, model)
        if found is None:
            raise UnknownModelError(f"no route of tenant {tenant!r} names model {model!r}")
        return found

    def _routed(self, tenant: str, model: str) -> RoutedPool | None:
        # The route published last decides.
        for route in reversed(self.routes_by_model.get(model, ())):
            pool = self.documents.get((Kind.POOL, route.pool))
            allowed = not route.tenants or tenant in route.tenants
            if allowed and isinstance(pool, Pool):
                return RoutedPool(route.pool, pool)
        return None
