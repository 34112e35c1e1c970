"""One run over real processes: load, faults, and the history that results."""

import time
from concurrent.futures import ThreadPoolExecutor

from process_faults import FaultInjector
from process_operator import Operator
from process_recorder import ConfigurationWatch, Recorder
from proved_deployment import MODEL, ProvedDeployment, key_of

from martenrun.load.client import CompletionCall, CompletionClient
from martenrun.proof.checkers.restart import RESTART_BOUND_S
from martenrun.proof.history import EngineListed, History, RequestInvoked
from martenrun.proof.process_records import AnswerReader, answer_record, prompt_of
from martenrun.proof.process_schedule import (
    DEADLINE_S,
    ENGINES,
    TENANTS,
    PlannedRequest,
    ProcessSchedule,
)

RESTART_PROBES = 2
_PROBE_TOKENS = 8
_PROBE_MARGIN_S = 0.2


class ProcessRun:
    """Runs one schedule over a deployment that serves undisturbed at its start."""

    def __init__(self, deployment: ProvedDeployment, schedule: ProcessSchedule) -> None:
        self._deployment = deployment
        self._schedule = schedule
        self._recorder = Recorder()
        self._injector = FaultInjector(deployment, self._recorder, Operator(deployment))
        sources = {request.source for request in schedule.requests}
        self._reader = AnswerReader(sorted(sources | set(self._probe_names())))

    def run(self) -> History:
        """Run to the end, restore the deployment and return the history."""
        schedule = self._schedule
        for index in range(ENGINES):
            self._recorder.add(EngineListed(time_s=time.monotonic(), process=f"engine-{index}"))
        with ConfigurationWatch(self._deployment, self._recorder):
            self._disturb_under_load()
            self._probe_restarted()
            self._injector.withdraw_leaving(schedule.faults)
            self._deployment.restore()
        for execution in list(self._deployment.executions):
            if execution.request_id.partition("-")[0] == str(schedule.seed):
                self._recorder.add(execution)
        return self._recorder.history()

    def _disturb_under_load(self) -> None:
        """Send every request and bring every fault about; returns when all are over."""
        schedule = self._schedule
        start_s = time.monotonic()
        with ThreadPoolExecutor(len(schedule.requests) + len(schedule.faults)) as threads:
            work = [
                threads.submit(self._injector.carry_out, fault, start_s)
                for fault in schedule.faults
            ]
            for request in schedule.requests:
                time.sleep(max(0.0, start_s + request.at_s - time.monotonic()))
                work.append(threads.submit(self._call, request))
        for item in work:
            item.result()

    def _probe_names(self) -> list[str]:
        return [f"{self._schedule.seed}-probe-{edge}" for edge in self._deployment.edges()]

    def _probe_restarted(self) -> None:
        """Send requests to each restarted edge once it has had the bound to recover."""
        if self._injector.restarted:
            time.sleep(RESTART_BOUND_S + _PROBE_MARGIN_S)
        for edge in self._injector.restarted:
            source = f"{self._schedule.seed}-probe-{edge}"
            for number in range(RESTART_PROBES):
                self._call(
                    PlannedRequest(
                        request_id=f"{source}-{number}",
                        source=source,
                        edge=edge,
                        at_s=0.0,
                        tenant=TENANTS[0],
                        output_tokens=_PROBE_TOKENS,
                    )
                )

    def _call(self, request: PlannedRequest) -> None:
        """Send one request, wait for its end and record both."""
        start_s = time.monotonic()
        self._recorder.add(
            RequestInvoked(
                time_s=start_s,
                request_id=request.request_id,
                edge=request.edge,
                tenant=request.tenant,
                source=request.source,
                output_tokens=request.output_tokens,
                repeatable=request.repeatable,
                idempotency_key=request.idempotency_key,
                deadline_s=DEADLINE_S,
            )
        )
        # A connection of its own: a kept one may be closed just as it is used.
        client = CompletionClient(self._deployment.address_of(request.edge), key_of(request.tenant))
        seen = client.stream(
            CompletionCall(
                request_id=request.request_id,
                model=MODEL,
                prompt=prompt_of(request.source),
                output_tokens=request.output_tokens,
                repeatable=request.repeatable,
                idempotency_key=request.idempotency_key,
                deadline_s=DEADLINE_S,
            )
        )
        end_s = time.monotonic()
        is_disturbed = self._injector.hit(request.edge, start_s, end_s)
        tokens = self._reader.tokens(request.source, seen.text)
        self._recorder.add(answer_record(seen, tokens, end_s, is_disturbed))
