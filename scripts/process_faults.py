"""Brings the faults of a schedule about at real processes and records them."""

import math
import signal
import time
from collections.abc import Callable
from dataclasses import dataclass

from deployment import STOP_TIMEOUT_S
from process_operator import Operator
from process_recorder import Recorder
from proved_deployment import ProvedDeployment

from martenrun.proof.history import (
    OBJECT_API,
    LeavingAnnounced,
    LeavingWithdrawn,
    PlannedStop,
    ProcessDisturbed,
    ProcessStarted,
)
from martenrun.proof.process_schedule import ALL_NODES, ProcessFault, ProcessFaultKind

RELAY_DELAY_S = 0.1
OBJECTS_DELAY_S = 0.3
LOST_ANSWERS = 5


@dataclass
class _Hit:
    process: str
    began_s: float
    ended_s: float = math.inf


class FaultInjector:
    """Carries out faults; each call of :meth:`carry_out` has a thread of its own.

    Attributes:
        restarted: edges that were started anew in this run.
    """

    def __init__(
        self, deployment: ProvedDeployment, recorder: Recorder, operator: Operator
    ) -> None:
        self._deployment = deployment
        self._recorder = recorder
        self._operator = operator
        self._hits: list[_Hit] = []
        self.restarted: list[str] = []
        self._actions: dict[ProcessFaultKind, Callable[[ProcessFault], None]] = {
            ProcessFaultKind.KILL_NODE: self._kill,
            ProcessFaultKind.KILL_AGENT: self._kill,
            ProcessFaultKind.KILL_ENGINE: self._kill,
            ProcessFaultKind.FREEZE_NODE: self._freeze,
            ProcessFaultKind.FREEZE_ENGINE: self._freeze,
            ProcessFaultKind.RESTART_ALL_NODES: self._restart_all,
            ProcessFaultKind.STOP_NODE: self._stop,
            ProcessFaultKind.STOP_AGENT: self._stop,
            ProcessFaultKind.CUT_AGENT: self._cut,
            ProcessFaultKind.ENGINE_LEAVES: self._leave,
            ProcessFaultKind.CUT_ENGINE: self._cut,
            ProcessFaultKind.SLOW_ENGINE: self._slow,
            ProcessFaultKind.CUT_OBJECTS: self._cut,
            ProcessFaultKind.OBJECTS_DOWN: self._objects,
            ProcessFaultKind.OBJECTS_SLOW: self._objects,
            ProcessFaultKind.OBJECTS_LOSE_ANSWERS: self._objects,
            ProcessFaultKind.CONFIGURATION_CHANGE: self._change,
        }

    def carry_out(self, fault: ProcessFault, start_s: float) -> None:
        """Wait for a fault's time and bring it about; ``start_s`` is the run's start."""
        time.sleep(max(0.0, start_s + fault.at_s - time.monotonic()))
        is_for_all = fault.process == ALL_NODES
        processes = self._deployment.nodes() if is_for_all else [fault.process]
        hits = [_Hit(process, time.monotonic()) for process in processes]
        self._hits += hits
        self._actions[fault.kind](fault)
        for hit in hits:
            hit.ended_s = time.monotonic()

    def hit(self, process: str, start_s: float, end_s: float) -> bool:
        """Return whether a fault or planned stop of a process overlapped a span."""
        return any(
            hit.process == process and hit.began_s <= end_s and hit.ended_s >= start_s
            for hit in list(self._hits)
        )

    def _disturbed(self, process: str, kind: str, since_s: float) -> None:
        self._recorder.add(
            ProcessDisturbed(time_s=since_s, process=process, kind=kind, until_s=time.monotonic())
        )

    def _restart(self, name: str) -> None:
        """Start a process again; for an edge, its start counts from its first answer."""
        self._deployment.restart(name)
        self._note_started(name)

    def _note_started(self, name: str) -> None:
        if not name.startswith("engine-"):
            is_node = name.startswith("node-")
            started = ProcessStarted(
                time_s=time.monotonic(), process=name, restarted=True, is_node=is_node
            )
            self._recorder.add(started)
            self.restarted.append(name)

    def _kill(self, fault: ProcessFault) -> None:
        since_s = time.monotonic()
        self._deployment.kill(fault.process)
        time.sleep(fault.duration_s)
        self._restart(fault.process)
        self._disturbed(fault.process, "kill", since_s)

    def _restart_all(self, fault: ProcessFault) -> None:
        """Kill every node and start all of them at a time."""
        since_s = time.monotonic()
        nodes = self._deployment.nodes()
        for name in nodes:
            self._deployment.kill(name)
        time.sleep(fault.duration_s)
        for name in nodes:
            self._deployment.start_again(name)
        for name in nodes:
            self._deployment.wait_answers(name)
            self._note_started(name)
            self._disturbed(name, "kill", since_s)

    def _freeze(self, fault: ProcessFault) -> None:
        since_s = time.monotonic()
        self._deployment.freeze(fault.process)
        time.sleep(fault.duration_s)
        self._deployment.thaw(fault.process)
        self._disturbed(fault.process, "freeze", since_s)

    def _stop(self, fault: ProcessFault) -> None:
        since_s = time.monotonic()
        process = self._deployment.processes[fault.process]
        process.send_signal(signal.SIGTERM)
        process.wait(timeout=STOP_TIMEOUT_S)
        stop = PlannedStop(time_s=since_s, process=fault.process, until_s=time.monotonic())
        self._recorder.add(stop)
        self._restart(fault.process)

    def _leave(self, fault: ProcessFault) -> None:
        self._deployment.mark(fault.process, "leaving")
        self._recorder.add(LeavingAnnounced(time_s=time.monotonic(), process=fault.process))

    def withdraw_leaving(self, faults: list[ProcessFault]) -> None:
        """Mark every engine that is leaving as live again."""
        for fault in faults:
            if fault.kind is ProcessFaultKind.ENGINE_LEAVES:
                withdrawn = LeavingWithdrawn(time_s=time.monotonic(), process=fault.process)
                self._recorder.add(withdrawn)
                self._deployment.mark(fault.process, "live")

    def _cut(self, fault: ProcessFault) -> None:
        since_s = time.monotonic()
        relays = {
            ProcessFaultKind.CUT_ENGINE: [self._deployment.engine_relay],
            ProcessFaultKind.CUT_OBJECTS: [self._deployment.objects_relay],
            ProcessFaultKind.CUT_AGENT: self._deployment.node_relays,
        }[fault.kind]
        present = [relay for relay in relays if relay is not None]
        for relay in present:
            relay.cut()
        time.sleep(fault.duration_s)
        for relay in present:
            relay.restore()
        self._disturbed(fault.process, "cut", since_s)

    def _slow(self, fault: ProcessFault) -> None:
        relay = self._deployment.engine_relay
        assert relay is not None
        relay.delay_s = RELAY_DELAY_S
        time.sleep(fault.duration_s)
        relay.delay_s = 0.0

    def _objects(self, fault: ProcessFault) -> None:
        since_s = time.monotonic()
        faults: dict[ProcessFaultKind, dict[str, object]] = {
            ProcessFaultKind.OBJECTS_DOWN: {"down": True},
            ProcessFaultKind.OBJECTS_SLOW: {"delay_s": OBJECTS_DELAY_S},
            ProcessFaultKind.OBJECTS_LOSE_ANSWERS: {"lose_answers": LOST_ANSWERS},
        }
        self._deployment.set_object_faults(**faults[fault.kind])
        time.sleep(fault.duration_s)
        self._deployment.set_object_faults()
        if fault.kind is ProcessFaultKind.OBJECTS_DOWN:
            self._disturbed(OBJECT_API, "down", since_s)

    def _change(self, fault: ProcessFault) -> None:
        self._operator.change(self._recorder)
