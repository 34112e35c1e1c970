"""Counts tenants' demand and use by model, and divides their limits over the nodes.

See also: :mod:`martenrun.sharing.usage`, :mod:`martenrun.limits.admission`.
"""

from typing import Protocol

from martenrun.sharing.usage import TenantUsage, UsageExchange

_SEPARATOR = "\0"


class UsageMeter(Protocol):
    """What admission tells of a tenant's requests, in tokens."""

    def demanded(self, tenant: str, model: str, tokens: float, now: float) -> None:
        """Count tokens asked for, refused or not."""
        ...

    def served(self, tenant: str, model: str, tokens: float, now: float) -> None:
        """Count tokens given; negative tokens take back."""
        ...


class NoMeter:
    """Counts nothing."""

    def demanded(self, tenant: str, model: str, tokens: float, now: float) -> None:
        """Do nothing."""

    def served(self, tenant: str, model: str, tokens: float, now: float) -> None:
        """Do nothing."""


class ExchangeMeter:
    """Counts in the usage exchange, a tenant's models apart: shares hold within a model."""

    def __init__(self, exchange: UsageExchange) -> None:
        self._exchange = exchange
        self._models: dict[str, set[str]] = {}

    def demanded(self, tenant: str, model: str, tokens: float, now: float) -> None:
        """Count tokens asked for, refused or not."""
        self._models.setdefault(tenant, set()).add(model)
        self._exchange.demanded(tenant + _SEPARATOR + model, tokens, now)

    def served(self, tenant: str, model: str, tokens: float, now: float) -> None:
        """Count tokens given; negative tokens take back."""
        self._exchange.served(tenant + _SEPARATOR + model, tokens, now)

    def usage(self, tenant: str, model: str, now: float) -> TenantUsage:
        """Return a tenant's rates of one model."""
        return self._exchange.usage(tenant + _SEPARATOR + model, now)

    def watch(self, tenant: str, model: str, now: float) -> None:
        """Keep a tenant's sums current at this node although it may use nothing here."""
        self._exchange.watch(tenant + _SEPARATOR + model, now)

    def limit_share(self, tenant: str, now: float) -> float:
        """Return this node's share of a tenant's limits, over all its models."""
        usages = [self.usage(tenant, model, now) for model in self._models.get(tenant, ())]
        own = sum(usage.own_demand for usage in usages)
        return self._exchange.share_of(own, sum(usage.all_demand for usage in usages))

    def forget_idle(self, now: float) -> None:
        """Forget models that no node has asked for lately."""
        for tenant, models in list(self._models.items()):
            idle = {model for model in models if self.usage(tenant, model, now).all_demand < 1e-3}
            models -= idle
            if not models:
                del self._models[tenant]
