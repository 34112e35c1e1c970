"""The HTTP front of a node: callers' and operators' requests on one address.

Its libraries are not needed for a node's part in the cluster, so it is imported while the node
already joins the others.

See also: :mod:`martenrun.node.process`.
"""

from collections.abc import Callable, Iterable, Sequence
from typing import Any

from martenrun.admin.application import AdminApplication
from martenrun.admin.assignments import check_move
from martenrun.admin.messages import ADMIN_PREFIX
from martenrun.admin.status import StatusPort
from martenrun.backends.weight_store import WeightStore
from martenrun.edge.application import CallerApplication
from martenrun.edge.drain import EdgeStop
from martenrun.edge.forward import EdgePort
from martenrun.edge.server import ConnectionLimits, HttpServer
from martenrun.events import Finish, RunAttempt, StatusReady
from martenrun.node.core import NodeCore
from martenrun.node.feeds import FeedFigures
from martenrun.observability.admission import SharingCollector
from martenrun.observability.claims import ClaimsCollector
from martenrun.observability.engine_feeds import EngineFeedsCollector
from martenrun.observability.kept_cache import KeptCacheCollector
from martenrun.observability.keys import KeyCollector
from martenrun.observability.process_cost import ProcessCostCollector
from martenrun.observability.scaling import ScalingCollector
from martenrun.settings.model import NodeSettings
from martenrun.sharing.policy_status import PolicyStatus


class NodeFront:
    """Serves the caller's API and the administration API of one node.

    Attributes:
        planned_stop: ends the front's requests step by step.

    Args:
        settings: the node's settings.
        core: the node's loop, parts and object API client.
        feeds: returns what is known of the engines' push streams.

    Raises:
        OSError: the node's HTTP address cannot be listened on.
    """

    def __init__(
        self,
        settings: NodeSettings,
        core: NodeCore,
        feeds: Callable[[], Sequence[FeedFigures]],
    ) -> None:
        self._parts = core.parts
        self._port = EdgePort(tell=core.tell)
        self._status_port = StatusPort(core.tell)
        caller = CallerApplication(
            self._port, self._parts.view, settings, self._parts.readiness_fault
        )
        caller.add_metrics(EngineFeedsCollector(feeds))
        caller.add_metrics(KeyCollector(core.key_uses))
        caller.add_metrics(SharingCollector(self._parts.limits.counts, self._policy_statuses))
        caller.add_metrics(KeptCacheCollector(self._parts.kept_cache_counts))
        caller.add_metrics(ClaimsCollector(self._parts.claim_retention))
        caller.add_metrics(ProcessCostCollector(core.transport))
        caller.add_metrics(ScalingCollector(self._parts.scaling))
        weights = WeightStore(settings.weight_store) if settings.weight_store else None
        admin = AdminApplication(
            core.store,
            self._parts.view,
            settings.bootstrap_key_sha256,
            lambda: self._status_port.status(self._parts.view(), self._policy_statuses()),
            weights,
            lambda runner, pool: check_move(self._parts.view(), self._parts.runners, runner, pool),
        )
        application = NodeApplication(caller, admin)
        self._server = HttpServer(
            application,
            settings.http_address,
            settings.max_streams + settings.http_threads,
            ConnectionLimits(settings.max_connections, settings.receive_timeout_s),
        )
        self.planned_stop = EdgeStop(
            caller.slots, self._server, self._port.watch, settings.drain_timeout_s
        )

    def start(self) -> None:
        """Serve from now on."""
        self._port.watch.start()
        self._server.start()

    def stop(self) -> None:
        """Serve no more."""
        self._server.stop()
        self._port.watch.stop()

    def deliver(self, instruction: RunAttempt | Finish) -> None:
        """Hand an instruction of the loop to the thread that carries the request."""
        self._port.deliver(instruction)

    def deliver_status(self, instruction: StatusReady) -> None:
        """Hand a status to the thread that waits for it."""
        self._status_port.deliver(instruction)

    def _policy_statuses(self) -> Sequence[PolicyStatus]:
        return self._parts.sharing.statuses


class NodeApplication:
    """Serves the caller's API and the administration API on one address."""

    def __init__(self, caller: Callable[..., Iterable[bytes]], admin: AdminApplication) -> None:
        self._caller = caller
        self._admin = admin

    def __call__(self, environ: dict[str, Any], start_response: Any) -> Iterable[bytes]:
        """Serve one request."""
        is_admin = str(environ.get("PATH_INFO", "")).startswith(ADMIN_PREFIX)
        application = self._admin if is_admin else self._caller
        return application(environ, start_response)
