"""Partitions of routers in a soak: from all runners, or from the store and other routers."""

import random
import time
from collections.abc import Callable

from faulty_relay import FaultyRelay
from platform_deployment import PlatformDeployment
from resuming_callers import ResumingCallers
from router_partition import RouterPartition, link_router
from router_run import RouterRun
from soak_callers import LEFT_MARK
from soak_runner_faults import RunnerFaults

from martenrun.proof.router_records import Partition
from martenrun.proof.soak_schedule import Step

LEAVING_CALLERS = 30
LEFT_SHARE = 0.6
"""Share of attempts that these break off, and of resumptions at separated routers."""

FAILURE_PAUSE_S = 0.05
"""How long they wait after an attempt without a response, in seconds."""


class PartitionFaults(RunnerFaults):
    """Partitions, and the record of them."""

    def __init__(self, deployment: PlatformDeployment) -> None:
        super().__init__(deployment)
        self.partitions: list[Partition] = []
        self._partitioned: dict[str, int] = {}
        self._separation: RouterPartition | None = None

    def separated(self) -> list[str]:
        """Return the addresses of the routers that are cut off from store and routers now."""
        separation = self._separation
        return [] if separation is None else [router.front for router in separation.routers]

    def _chosen(self, step: Step, share: float = 0.0) -> list[RouterRun]:
        raise NotImplementedError

    def _link_joined(self, router: RouterRun) -> None:
        """Let a router that joins reach others as they reach each other."""
        if any(other.router_links for other in self._deployment.routers):
            link_router(self._deployment, router)
        if self._separation is not None:
            self._separation.refresh()

    # Routers and all runners

    def _partition(self, step: Step, harm: Callable[[FaultyRelay], None]) -> None:
        """Cut routers off from all runners; several partitions of a router end with the last."""
        for router in self._chosen(step):
            began_at = time.monotonic()
            links = list(router.links.values())
            self._partitioned[router.name] = self._partitioned.get(router.name, 0) + 1
            if self._partitioned[router.name] == 1:
                for link in links:
                    harm(link)

            def end(
                router: RouterRun = router,
                links: list[FaultyRelay] = links,
                began_at: float = began_at,
            ) -> None:
                self._partitioned[router.name] -= 1
                if not self._partitioned[router.name]:
                    for link in links:
                        link.restore()
                self.partitions.append(Partition(router.front, began_at, time.monotonic()))

            self._later(step.lasts_s, end)

    def _stall_links(self, step: Step) -> None:
        self._partition(step, lambda link: link.stall())

    def _reset_links(self, step: Step) -> None:
        self._partition(step, lambda link: link.cut())

    def _refuse_new_links(self, step: Step) -> None:
        self._partition(step, lambda link: link.refuse_new())

    # Routers, the store and other routers

    def _separate_routers(self, step: Step) -> None:
        """Cut routers off from the store and from other routers, if none are now."""
        routers = self._chosen(step)
        if self._separation is not None or not routers:
            return
        began_at = time.monotonic()
        separation = self._separation = RouterPartition(self._deployment, routers)
        separation.cut()

        def end() -> None:
            self._separation = None
            separation.restore()
            for router in routers:
                self._note(router.front, began_at, time.monotonic())

        self._later(step.lasts_s, end)


class LeavingCallers(ResumingCallers):
    """Callers that leave streams of routers in touch and resume many at separated ones."""

    def __init__(self, deployment: PlatformDeployment, seed: int, faults: PartitionFaults) -> None:
        super().__init__(
            deployment, LEAVING_CALLERS, seed, suffix=LEFT_MARK, failure_pause_s=FAILURE_PAUSE_S
        )
        self._faults = faults

    def choose_router(self, rng: random.Random, is_resumption: bool) -> str:
        """Return the address of the router for the next attempt."""
        separated = self._faults.separated()
        if is_resumption and separated and rng.random() < LEFT_SHARE:
            return rng.choice(separated)
        routers = [router.front for router in self._deployment.routers]
        return rng.choice([front for front in routers if front not in separated] or routers)

    def prompt_parts(self, stream_id: str) -> str:
        """Return a part of its own for each stream, which no runner has yet."""
        return f"{stream_id}:1000"

    def break_share(self) -> float:
        """Return the share of attempts that callers break off after some events."""
        return LEFT_SHARE
