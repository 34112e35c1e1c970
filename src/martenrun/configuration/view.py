"""An immutable view of the configuration in force, safe to read from any thread."""

import hashlib
from collections.abc import Mapping
from dataclasses import dataclass, field

from martenrun.configuration.objects import ApiKey, Document, Kind, Pool, Route, Tenant
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

    @classmethod
    def build(
        cls, revision: int, documents: Mapping[tuple[Kind, str], Document]
    ) -> "ConfigurationView":
        """Copy the documents and index the API keys by their digest."""
        keys = {item.key_sha256: item for item in documents.values() if isinstance(item, ApiKey)}
        return cls(revision, dict(documents), keys)

    def key_of(self, token: str) -> ApiKey:
        """Return the key object of a bearer token; raises InvalidKeyError.

        The look-up is by the token's SHA-256, so its timing tells nothing about stored keys.
        """
        digest = hashlib.sha256(token.encode()).hexdigest()
        found = self.keys.get(digest)
        if found is None:
            raise InvalidKeyError("the API key is missing, unknown or revoked")
        return found

    def tenant(self, name: str) -> Tenant:
        """Return a tenant; raises InvalidKeyError if its key outlived it."""
        found = self.documents.get((Kind.TENANT, name))
        if not isinstance(found, Tenant):
            raise InvalidKeyError(f"tenant {name!r} does not exist")
        return found

    def routes(self, tenant: str) -> dict[str, RoutedPool]:
        """Return the pool of every model that a tenant may use, by model."""
        usable: dict[str, RoutedPool] = {}
        for document in self.documents.values():
            if not isinstance(document, Route):
                continue
            pool = self.documents.get((Kind.POOL, document.pool))
            allowed = not document.tenants or tenant in document.tenants
            if allowed and isinstance(pool, Pool):
                usable[document.model] = RoutedPool(document.pool, pool)
        return usable

    def route(self, tenant: str, model: str) -> RoutedPool:
        """Return the pool that serves a model for a tenant; raises UnknownModelError."""
        found = self.routes(tenant).get(model)
        if found is None:
            raise UnknownModelError(f"no route of tenant {tenant!r} names model {model!r}")
        return found
