"""Each checker of the soak finds its violation, and finds nothing where there is none."""

import attrs

from martenrun.proof.router_checkers import (
    CallRecord,
    Departure,
    OrderRecord,
    Revocation,
    RouterHistory,
    RunRecord,
    check_all,
)

CLEAN = RouterHistory(
    calls=[
        CallRecord("p1", "pay", "k", 10.0, 200, b"answer to p1"),
        CallRecord("p2", "pay", "k", 10.0, 503, b""),
        CallRecord("a1", "ask", "k", 10.0, 200, b"id: 1\nx\n\nid: 2\ny\n\n"),
        CallRecord("o1", "once", "k", 10.0, None, b""),
    ],
    runs=[
        RunRecord("p1", "i1", 10.1, "growers"),
        RunRecord("a1", "i1", 10.1, "growers"),
        RunRecord("a1", "i2", 10.2, "growers"),
        RunRecord("o1", "i2", 10.2, "growers"),
    ],
    orders=[OrderRecord("i1", "h1", 1, 5.0), OrderRecord("i1", "h2", 2, 9.0)],
    revocations=[Revocation("gone", 4.0)],
    departures=[Departure("i3", 4.0)],
    unquiet=[],
    events_of_stream=2,
)


def found(**changes):
    history = attrs.evolve(CLEAN, **changes)
    return {text.partition(":")[0] for text in check_all(history, 5.0, 2.0, 3.0)}


def test_a_clean_history_has_no_violation():
    assert found() == set()


def test_a_payment_that_ran_twice():
    assert found(runs=[*CLEAN.runs, RunRecord("p1", "i2", 11.0, "growers")]) == {"at most once"}


def test_a_refused_payment_that_ran():
    assert found(runs=[*CLEAN.runs, RunRecord("p2", "i2", 11.0, "growers")]) == {"refused"}


def test_anothers_answer_and_a_stream_with_a_gap():
    other = CallRecord("p3", "pay", "k", 10.0, 200, b"answer to p1")
    gap = CallRecord("a2", "ask", "k", 10.0, 200, b"id: 2\ny\n\n")
    assert found(calls=[*CLEAN.calls, other]) == {"own answer"}
    assert found(calls=[*CLEAN.calls, gap]) == {"own answer"}


def test_a_run_that_nobody_asked_for_or_under_another_tenant():
    assert found(runs=[*CLEAN.runs, RunRecord("x", "i2", 11.0, "growers")]) == {"unasked"}
    assert found(runs=[*CLEAN.runs, RunRecord("a1", "i2", 11.0, "other")]) == {"unasked"}


def test_a_run_long_after_its_key_was_taken_away():
    late = CallRecord("p4", "pay", "gone", 9.5, 502, b"")
    runs = [*CLEAN.runs, RunRecord("p4", "i2", 9.6, "growers")]
    assert found(calls=[*CLEAN.calls, late], runs=runs) == {"revoked"}


def test_a_run_at_a_runner_that_left_unless_there_was_trouble():
    runs = [*CLEAN.runs, RunRecord("a1", "i3", 6.5, "growers")]
    assert found(runs=runs) == {"leaving"}
    assert found(runs=runs, unquiet=[(5.0, 6.0)]) == set()


def test_two_holders_with_one_token_and_a_falling_token():
    assert found(orders=[*CLEAN.orders, OrderRecord("i2", "h3", 2, 9.5)]) == {"one holder"}
    assert found(orders=[*CLEAN.orders, OrderRecord("i1", "h1", 1, 9.5)]) == {"one holder"}
