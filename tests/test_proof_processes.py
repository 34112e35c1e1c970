"""Histories of real processes: their records, and that the checkers find a missing guard."""

from pathlib import Path

import pytest
from process_run import ProcessRun
from proved_deployment import ProvedDeployment

from martenrun.load.client import StreamRecord
from martenrun.proof.history import (
    ConfigurationAccepted,
    ConfigurationInForce,
    History,
    ProcessStarted,
    RequestAnswered,
    RequestInvoked,
    Token,
)
from martenrun.proof.process_campaign import ProcessCampaign, check_processes
from martenrun.proof.process_records import (
    CONNECTION_LOST,
    UNKNOWN_SOURCE,
    WEIGHTS_VERSION,
    AnswerReader,
    answer_record,
    prompt_of,
)
from martenrun.proof.process_schedule import (
    TENANTS,
    PlannedRequest,
    ProcessFault,
    ProcessFaultKind,
    ProcessSchedule,
    draw_process_schedule,
)
from martenrun.standins.engine.tokens import TokenSequence

GUARDED, UNGUARDED = "agent-0", "agent-1"
OUTPUT_TOKENS = 100
REQUESTS = 24
PAUSE_S = 0.8
"""Longer than the longest silence that an edge accepts between two tokens."""


@pytest.fixture(scope="module")
def deployment():
    entry = (str(Path(__file__).with_name("unguarded_agent.py")),)
    running = ProvedDeployment(entries={UNGUARDED: entry})
    try:
        running.start()
        yield running
    finally:
        running.stop()


SEED_OF_BOTH = 2
"""A seed whose run has a cut agent and a restart of all nodes."""


def freezing_schedule(seed):
    """Every engine is paused in turn while streams run that may not be repeated."""
    requests = [
        PlannedRequest(
            request_id=f"{seed}-{number}",
            source=f"{seed}-{number}",
            edge=(GUARDED, UNGUARDED)[number % 2],
            at_s=0.1 * number,
            tenant=TENANTS[number // 2 % 2],
            output_tokens=OUTPUT_TOKENS,
            repeatable=False,
            idempotency_key=f"{seed}-key-{number}",
        )
        for number in range(REQUESTS)
    ]
    pauses = [
        ProcessFault(
            ProcessFaultKind.FREEZE_ENGINE, f"engine-{index}", 0.4 + PAUSE_S * index, PAUSE_S
        )
        for index in range(3)
    ]
    return ProcessSchedule(seed, requests, pauses)


def test_without_the_retry_rule_a_second_execution_is_found(deployment):
    history = ProcessRun(deployment, freezing_schedule(1)).run()
    edges = {request.request_id: request.edge for request in history.of(RequestInvoked)}
    found = check_processes(history)
    assert {violation.promise for violation in found} == {"at_most_once"}
    assert {edges[violation.subject] for violation in found} == {UNGUARDED}
    broken = {edges[answer.request_id] for answer in history.of(RequestAnswered) if answer.code}
    assert GUARDED in broken


def test_a_drawn_run_keeps_every_promise(deployment):
    schedule = draw_process_schedule(3, (ProcessFaultKind.FREEZE_NODE,))
    history = ProcessRun(deployment, schedule).run()
    campaign = ProcessCampaign(schedule.seed)
    campaign.add(schedule.seed, schedule.faults, history)
    summary = campaign.finish([])
    assert summary.is_clean, summary.violations
    assert summary.requests == len(schedule.requests)
    assert summary.executions >= summary.answers["whole"] > 0


def test_a_cut_between_an_agent_and_the_nodes_and_a_restart_of_all_nodes_break_no_promise(
    deployment,
):
    kinds = (ProcessFaultKind.CUT_AGENT, ProcessFaultKind.RESTART_ALL_NODES)
    before = sum(relay.connections for relay in deployment.node_relays)
    assert before > 0
    schedule = draw_process_schedule(SEED_OF_BOTH, kinds)
    assert {fault.kind for fault in schedule.faults} == set(kinds)
    campaign = ProcessCampaign(schedule.seed)
    campaign.add(schedule.seed, schedule.faults, ProcessRun(deployment, schedule).run())
    assert sum(relay.connections for relay in deployment.node_relays) > before
    summary = campaign.finish([])
    assert summary.is_clean, summary.violations


def changed(revision, at_s):
    """A change that every check of one deployment finds in force, and its process's last sight."""
    process = {"process": "node-0", "incarnation": "1", "digest": "d"}
    return [
        ProcessStarted(time_s=at_s, process="node-0", restarted=False, is_node=True),
        ConfigurationAccepted(time_s=at_s + 1.0, revision=revision, subject="tenants/a"),
        *(
            ConfigurationInForce(time_s=at_s + second, revision=revision, **process)
            for second in range(2, 20)
        ),
    ]


@pytest.mark.parametrize("is_replaced", [True, False])
def test_another_deployments_revisions_are_not_held_against_the_one_before(is_replaced):
    campaign = ProcessCampaign(1)
    campaign.add(1, [], History(changed(650, 0.0), 5.0))
    if is_replaced:
        campaign.finish([])
    campaign.add(2, [], History(changed(7, 30.0), 60.0))
    assert ("configuration" in campaign.finish([]).violations_by_promise) != is_replaced


def text(source, count):
    return TokenSequence(f"{prompt_of(source)}".encode(), WEIGHTS_VERSION).text(count)


def read(text_received, **fields):
    tokens = AnswerReader(["a", "b"]).tokens("a", text_received)
    return answer_record(StreamRecord("a", text=text_received, **fields), tokens, 1.0, False)


def violations(answer):
    asked = RequestInvoked(
        time_s=0.0, request_id="a", edge="e", tenant="t", source="a", output_tokens=8
    )
    return {found.promise for found in check_processes(History([asked, answer], 2.0))}


def test_answers_are_read_token_by_token():
    whole = read(text("a", 8), whole=True)
    assert whole.tokens == [Token("a", index) for index in range(8)]
    assert violations(whole) == set()
    assert violations(read(text("b", 8), whole=True)) == {"own_answer"}
    assert violations(read(text("a", 7), whole=True)) == {"streams"}
    assert violations(read(text("a", 3), lost="broken")) == {"streams"}
    assert read("nonsense", whole=True).tokens == [Token(UNKNOWN_SOURCE, -1)]


def test_a_connection_lost_by_a_fault_is_no_silent_end():
    lost = StreamRecord("a", error="transport: reset", lost="broken")
    answer = answer_record(lost, [], 1.0, True)
    assert (answer.code, answer.ran) == (CONNECTION_LOST, "unknown")
    typed = StreamRecord("a", error='{"error":{"code":"no_runner","ran":"no"}}')
    assert answer_record(typed, [], 1.0, False).ran == "no"
    untyped = StreamRecord("a", status=500, error="<html>")
    assert violations(answer_record(untyped, [], 1.0, False)) == {"streams"}


def test_a_seed_draws_the_same_run_and_every_kind_of_fault():
    assert draw_process_schedule(5) == draw_process_schedule(5)
    drawn = {fault.kind for seed in range(100) for fault in draw_process_schedule(seed).faults}
    assert drawn == set(ProcessFaultKind)
