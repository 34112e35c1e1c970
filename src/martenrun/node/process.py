"""The node process: wiring of decision logic and drivers."""

import random
import secrets
import threading
from collections.abc import Iterable, Sequence
from typing import Any

from absl import logging

from martenrun.admin.application import ADMIN_PREFIX, AdminApplication
from martenrun.admin.status import StatusPort
from martenrun.edge.application import CallerApplication
from martenrun.edge.drain import wait_while
from martenrun.edge.forward import EdgePort
from martenrun.edge.server import HttpServer
from martenrun.events import (
    Finish,
    LeaveRequested,
    RunAttempt,
    SendOrder,
    StatusReady,
)
from martenrun.node.core import NodeCore
from martenrun.node.feeds import EngineFeeds
from martenrun.node.polls import NodePolls
from martenrun.observability.admission import SharingCollector
from martenrun.observability.engine_feeds import EngineFeedsCollector
from martenrun.orders.workers import OrderWorkers
from martenrun.platform.engine import EngineConnections
from martenrun.platform.engine_orders import EngineOrders
from martenrun.platform.machine_list import MachineList
from martenrun.platform.weight_store import WeightStore
from martenrun.process import (
    Poller,
)
from martenrun.settings.model import NodeSettings
from martenrun.sharing.policy_weights import PolicyStatus

LEAVE_SPREAD_LIMIT_S = 3.0
"""Longest time that other nodes are given to learn of a planned stop, in seconds."""

LATE_QUESTIONS_S = 2.5
"""Time for which agents' late questions are refused; longer than agents' query interval."""

MACHINE_POLL_S = 1.0
RUNNER_POLL_S = 0.5


class NodeProcess:
    """Everything that runs in a node process."""

    def __init__(self, settings: NodeSettings) -> None:
        self._core = core = NodeCore(settings, secrets.token_hex(8), random.Random())
        self._parts = core.parts
        self._engines = EngineConnections()
        self._feeds = EngineFeeds(core.tell, random.Random())
        self._polls = NodePolls(
            core.parts, MachineList(settings.machine_list), self._engines, self._feeds, core.tell
        )
        self._order_workers = OrderWorkers(EngineOrders(self._engines), core.tell)
        self._port = port = EdgePort(tell=core.tell)
        status_port = StatusPort(core.tell)
        core.start_loop(
            {
                RunAttempt: port.deliver,
                Finish: port.deliver,
                StatusReady: status_port.deliver,
                SendOrder: self._order_workers.carry,
            }
        )
        caller = CallerApplication(port, self._parts.view, settings)
        self._slots = caller.slots
        self._drain_timeout_s = settings.drain_timeout_s
        caller.add_metrics(EngineFeedsCollector(self._feeds.figures))
        caller.add_metrics(SharingCollector(self._parts.limits.counts, self._policy_statuses))
        weights = WeightStore(settings.weight_store) if settings.weight_store else None
        admin = AdminApplication(
            core.store,
            self._parts.view,
            settings.bootstrap_key_sha256,
            lambda: status_port.status(self._parts.view(), self._policy_statuses()),
            weights,
        )
        application = NodeApplication(caller, admin)
        self._server = HttpServer(
            application, settings.http_address, settings.max_streams + settings.http_threads
        )
        self._pollers = [
            Poller("machine-list", self._polls.list_machines, MACHINE_POLL_S),
            Poller("runners", self._polls.follow_engines, RUNNER_POLL_S),
        ]

    def start(self) -> None:
        """Start every driver."""
        self._core.start()
        self._port.watch.start()
        self._feeds.start()
        for poller in self._pollers:
            poller.start()
        self._server.start()

    def drain(self, hurry: threading.Event) -> None:
        """Leave: tell the others first, refuse new work, let the front's streams end.

        Late questions of agents that do not know yet are refused as not run, so that they
        ask another node.
        """
        self._core.tell(LeaveRequested())
        self._slots.close()
        membership = self._parts.membership
        wait_while(lambda: not membership.leave_is_spread, LEAVE_SPREAD_LIMIT_S, hurry)
        if not wait_while(lambda: self._slots.taken > 0, self._drain_timeout_s, hurry):
            logging.warning("%d streams are cut by the stop", self._slots.taken)
        if not membership.is_alone:
            hurry.wait(LATE_QUESTIONS_S)

    def stop(self) -> None:
        """Stop every driver and the loop."""
        self._server.stop()
        for poller in self._pollers:
            poller.stop()
        self._feeds.stop()
        self._port.watch.stop()
        self._order_workers.stop()
        self._core.stop()

    def _policy_statuses(self) -> Sequence[PolicyStatus]:
        return self._parts.sharing.statuses


class NodeApplication:
    """Serves the caller's API and the administration API on one address."""

    def __init__(self, caller: CallerApplication, admin: AdminApplication) -> None:
        self._caller = caller
        self._admin = admin

    def __call__(self, environ: dict[str, Any], start_response: Any) -> Iterable[bytes]:
        """Serve one request."""
        is_admin = str(environ.get("PATH_INFO", "")).startswith(ADMIN_PREFIX)
        application = self._admin if is_admin else self._caller
        return application(environ, start_response)
