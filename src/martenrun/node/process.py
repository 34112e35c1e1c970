"""The node process: wiring of decision logic and drivers."""

import random
import secrets
import threading
from typing import TYPE_CHECKING, Any

from martenrun.backends.engine import EngineConnections
from martenrun.backends.engine_orders import EngineOrders
from martenrun.backends.kv_transfers import KvTransfers
from martenrun.backends.machine_list import MachineList
from martenrun.edge.drain import wait_while
from martenrun.errors import SettingsError
from martenrun.events import Finish, LeaveRequested, RunAttempt, SendExport, SendOrder, StatusReady
from martenrun.kvcache.workers import ExportWorkers
from martenrun.node.core import NodeCore
from martenrun.node.feeds import EngineFeeds
from martenrun.node.polls import NodePolls
from martenrun.orders.workers import OrderWorkers
from martenrun.process import Poller
from martenrun.settings.model import NodeSettings

if TYPE_CHECKING:
    from martenrun.node.front import NodeFront

LEAVE_SPREAD_LIMIT_S = 3.0
"""Longest time that other nodes are given to learn of a planned stop, in seconds."""

LATE_QUESTIONS_S = 3.5
"""Time for which agents' late questions are refused.

It is the longest time between two of an agent's configuration queries, and one unanswered query.
"""

MACHINE_POLL_S = 1.0
RUNNER_POLL_S = 0.5


class NodeProcess:
    """Everything that runs in a node process.

    The node's part in the cluster starts first: while the HTTP front's libraries are imported,
    the node already asks others for members and the configuration.
    """

    def __init__(self, settings: NodeSettings) -> None:
        self._settings = settings
        self._core = core = NodeCore(settings, secrets.token_hex(8), random.Random())
        self._engines = EngineConnections()
        self._feeds = EngineFeeds(core.tell, random.Random())
        self._polls = NodePolls(
            core.parts, MachineList(settings.machine_list), self._engines, self._feeds, core.tell
        )
        self._order_workers = OrderWorkers(EngineOrders(self._engines), core.tell)
        self._export_workers = ExportWorkers(KvTransfers(self._engines), core.tell)
        self._front: NodeFront | None = None
        self._pollers = [
            Poller("machine-list", self._polls.list_machines, MACHINE_POLL_S),
            Poller("runners", self._polls.follow_engines, RUNNER_POLL_S),
        ]

    def start(self) -> None:
        """Start every driver; stops them again if the front cannot listen.

        Raises:
            ExceptionGroup: of SettingsError, if the HTTP address cannot be listened on.
        """
        self._core.start_loop(
            {
                RunAttempt: self._deliver,
                Finish: self._deliver,
                StatusReady: self._deliver,
                SendOrder: self._order_workers.carry,
                SendExport: self._export_workers.carry,
            }
        )
        self._core.start()
        for poller in self._pollers:
            poller.start()
        try:
            self._start_front()
        except BaseException:
            self.stop()
            raise

    def drain(self, hurry: threading.Event) -> None:
        """Leave: tell the others first, refuse new work, let the front's streams end.

        Late questions of agents that do not know yet are refused as not run, so that they
        ask another node.
        """
        assert self._front is not None
        planned_stop = self._front.planned_stop
        self._core.tell(LeaveRequested())
        planned_stop.begin()
        membership = self._core.parts.membership
        wait_while(lambda: not membership.leave_is_spread, LEAVE_SPREAD_LIMIT_S, hurry)
        planned_stop.end_requests(hurry)
        if not membership.is_alone:
            hurry.wait(LATE_QUESTIONS_S)
        planned_stop.close_connections(hurry)

    def stop(self) -> None:
        """Stop every driver and the loop."""
        if self._front is not None:
            self._front.stop()
        for poller in self._pollers:
            poller.stop()
        self._feeds.stop()
        self._order_workers.stop()
        self._export_workers.stop()
        self._core.stop()

    def _start_front(self) -> None:
        # Imported here so that the node joins the others meanwhile.
        from martenrun.node.front import NodeFront

        # Feeds import parts of waitress: two threads that do so at once may not both succeed.
        self._feeds.start()
        address = self._settings.http_address
        try:
            self._front = NodeFront(self._settings, self._core, self._feeds.figures)
        except OSError as error:
            remedy = "give http_address an address of this machine with a free port"
            fault = SettingsError(f"cannot listen on {address}: {error}", remedy=remedy)
            raise ExceptionGroup("the HTTP front cannot start", [fault]) from error
        self._front.start()

    def _deliver(self, instruction: Any) -> None:
        """Hand an instruction of the loop to the front, from which its request came."""
        if self._front is None:
            return
        if isinstance(instruction, StatusReady):
            self._front.deliver_status(instruction)
        else:
            self._front.deliver(instruction)
