"""The status that the administration API shows, and the port that fetches it from the loop."""

import queue
import secrets
from collections.abc import Callable, Sequence

from martenrun.admin.messages import InForce, Move, Status, Watcher
from martenrun.configuration.view import ConfigurationView
from martenrun.errors import NodeUnavailableError
from martenrun.events import Event, StatusReady, StatusWanted
from martenrun.node.status import STATUS_TIMEOUT_S, newest_agent_revisions
from martenrun.sharing.policy_status import PolicyStatus

_LOOP_TIMEOUT_S = STATUS_TIMEOUT_S + 2.0


class StatusPort:
    """Connects the administration API's threads with the loop."""

    def __init__(self, tell: Callable[[Event], None]) -> None:
        self._tell = tell
        self._waiting: dict[str, queue.SimpleQueue[StatusReady]] = {}

    def deliver(self, instruction: StatusReady) -> None:
        """Hand a status to the thread that waits for it."""
        waiting = self._waiting.get(instruction.query_id)
        if waiting is not None:
            waiting.put(instruction)

    def status(self, view: ConfigurationView, policies: Sequence[PolicyStatus] = ()) -> Status:
        """Ask the loop and wait; raises NodeUnavailableError if the loop does not answer."""
        query_id = secrets.token_hex(8)
        waiting = self._waiting[query_id] = queue.SimpleQueue()
        try:
            self._tell(StatusWanted(query_id))
            ready = waiting.get(timeout=_LOOP_TIMEOUT_S)
        except queue.Empty as error:
            raise NodeUnavailableError("the node's loop did not answer in time") from error
        finally:
            del self._waiting[query_id]
        return _status(ready, view, policies)


def _status(
    ready: StatusReady, view: ConfigurationView, policies: Sequence[PolicyStatus]
) -> Status:
    nodes = [InForce(name, node.revision) for name, node in ready.nodes.items()]
    told = newest_agent_revisions(ready.nodes.values())
    agents = [InForce(name, revision) for name, revision in told.items()]
    revisions = [entry.revision for entry in [*nodes, *agents]]
    return Status(
        node=ready.own,
        revision=ready.nodes[ready.own].revision,
        newest_revision=max(revisions),
        slowest_revision=min(revisions),
        nodes=sorted(nodes, key=lambda entry: (entry.revision, entry.name)),
        agents=sorted(agents, key=lambda entry: (entry.revision, entry.name)),
        silent_nodes=[name for name in ready.members if name not in ready.nodes],
        watchers=[
            Watcher(name, node.watcher_lease)
            for name, node in sorted(ready.nodes.items())
            if node.watcher_lease
        ],
        faults=sorted({fault for node in ready.nodes.values() for fault in node.faults}),
        drains=sorted(f"{drain.role.value} {name}" for name, drain in view.drains.items()),
        policies=list(policies),
        moves=[
            Move(name, item.pool, item.left_pool, item.made_by.value, item.reason)
            for name, item in sorted(view.assignments.items())
            if not item.arrived
        ],
    )
