"""Prometheus view of a node's admission counts and sharing policies.

See also: :mod:`martenrun.limits.counts`, :mod:`martenrun.sharing.logic`.
"""

from collections.abc import Callable, Iterable, Sequence

from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily, Metric
from prometheus_client.registry import Collector

from martenrun.limits.counts import AdmissionCounts
from martenrun.sharing.policy_status import PolicyStatus


class SharingCollector(Collector):
    """Reads the counts when they are scraped."""

    def __init__(
        self, counts: AdmissionCounts, policies: Callable[[], Sequence[PolicyStatus]]
    ) -> None:
        self._counts = counts
        self._policies = policies

    def collect(self) -> Iterable[Metric]:
        """Return admissions by tenant and outcome, and whether each policy fails."""
        admissions = CounterMetricFamily(
            "martenrun:admissions",
            "Questions by tenant and outcome; 'admitted' or the error's code.",
            labels=["tenant", "outcome"],
        )
        for item in self._counts.all():
            admissions.add_metric([item.tenant, item.outcome], item.count)
        failing = GaugeMetricFamily(
            "martenrun:policy_failing",
            "1 if the pool's sharing policy fails and older weights are kept.",
            labels=["pool", "policy"],
        )
        failures = CounterMetricFamily(
            "martenrun:policy_failures",
            "Failed evaluations of the pool's sharing policy.",
            labels=["pool", "policy"],
        )
        for status in self._policies():
            failing.add_metric([status.pool, status.name], float(status.is_failing))
            failures.add_metric([status.pool, status.name], status.failures)
        return [admissions, failing, failures]
