"""Each checker of the soak finds its violation and reports nothing for clean histories."""

import attrs

from martenrun.proof.router_checkers import check_all
from martenrun.proof.router_records import (
    CallRecord,
    ConnectionTry,
    Departure,
    DirectoryAnswer,
    LimitArrival,
    LimitBound,
    NoticeArrival,
    OrderRecord,
    Partition,
    PromiseBounds,
    RateBound,
    Revocation,
    RouterHistory,
    RouterLife,
    RunRecord,
    Trouble,
)

BOUNDS = PromiseBounds(
    revoke_s=5.0, drain_s=2.0, quiet_s=3.0, named_s=5.0, closed_s=1.0, contact_s=3.0
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
    troubles=[],
    events_of_stream=2,
)


def violated_checks(**changes):
    history = attrs.evolve(CLEAN, **changes)
    return {text.partition(":")[0] for text in check_all(history, BOUNDS)}


def test_a_clean_history_has_no_violation():
    assert violated_checks() == set()


def test_a_payment_that_ran_twice_is_found():
    assert violated_checks(runs=[*CLEAN.runs, RunRecord("p1", "i2", 11.0, "growers")]) == {
        "at most once"
    }


def test_a_refused_payment_that_ran_is_found():
    assert violated_checks(runs=[*CLEAN.runs, RunRecord("p2", "i2", 11.0, "growers")]) == {
        "refused"
    }


def test_a_swapped_response_and_a_stream_with_a_gap_are_found():
    other = CallRecord("p3", "pay", "k", 10.0, 200, b"answer to p1")
    gap = CallRecord("a2", "ask", "k", 10.0, 200, b"id: 2\ny\n\n")
    assert violated_checks(calls=[*CLEAN.calls, other]) == {"own answer"}
    assert violated_checks(calls=[*CLEAN.calls, gap]) == {"own answer"}


def test_an_unrequested_run_and_one_under_another_tenant_are_found():
    assert violated_checks(runs=[*CLEAN.runs, RunRecord("x", "i2", 11.0, "growers")]) == {"unasked"}
    assert violated_checks(runs=[*CLEAN.runs, RunRecord("a1", "i2", 11.0, "other")]) == {"unasked"}


def test_a_run_long_after_its_key_was_revoked_is_found():
    late = CallRecord("p4", "pay", "gone", 9.5, 502, b"")
    runs = [*CLEAN.runs, RunRecord("p4", "i2", 9.6, "growers")]
    assert violated_checks(calls=[*CLEAN.calls, late], runs=runs) == {"revoked"}


def test_a_run_at_a_departed_runner_is_found_unless_a_fault_excuses_it():
    runs = [*CLEAN.runs, RunRecord("a1", "i3", 6.5, "growers")]
    assert violated_checks(runs=runs) == {"leaving"}
    assert violated_checks(runs=runs, troubles=[Trouble(None, 5.0, 6.0)]) == set()


def test_a_shared_and_a_decreasing_fencing_token_are_found():
    assert violated_checks(orders=[*CLEAN.orders, OrderRecord("i2", "h3", 2, 9.5)]) == {
        "one holder"
    }
    assert violated_checks(orders=[*CLEAN.orders, OrderRecord("i1", "h1", 1, 9.5)]) == {
        "one holder"
    }


def test_a_reissued_key_may_be_used():
    late = CallRecord("p4", "pay", "gone", 30.0, 200, b"answer to p4")
    runs = [*CLEAN.runs, RunRecord("p4", "i2", 30.1, "growers")]
    again = [Revocation("gone", 4.0, until=20.0)]
    assert violated_checks(calls=[*CLEAN.calls, late], runs=runs, revocations=again) == set()


def test_faults_of_another_router_excuse_no_late_run():
    calls = [attrs.evolve(call, router="r1") for call in CLEAN.calls]
    runs = [*CLEAN.runs, RunRecord("a1", "i3", 6.5, "growers")]
    assert violated_checks(calls=calls, runs=runs, troubles=[Trouble("r1", 5.0, 6.0)]) == set()
    assert violated_checks(calls=calls, runs=runs, troubles=[Trouble("r2", 5.0, 6.0)]) == {
        "leaving"
    }


ROUTER_LIVES = [
    RouterLife("r1", 0.0),
    RouterLife("r2", 0.0, ended_at=10.0),
    RouterLife("r3", 0.0, leaving_at=10.0, ended_at=14.0),
]


def directory_violations(addresses, asked_at, **changes):
    return violated_checks(
        lives=ROUTER_LIVES, directory=[DirectoryAnswer("r1", asked_at, addresses)], **changes
    )


def test_a_directory_with_stopped_stopping_or_unknown_routers_is_found():
    assert directory_violations(["r1", "r2", "r3"], 14.9) == set()
    assert directory_violations(["r2"], 15.1) == {"directory"}
    assert directory_violations(["r3"], 15.1) == {"directory"}
    assert directory_violations(["r9"], 1.0) == {"directory"}
    assert directory_violations(["r2"], 15.1, troubles=[Trouble("r1", 13.0, 13.5)]) == set()


def test_a_router_restarted_at_its_address_may_be_listed():
    lives = [*ROUTER_LIVES, RouterLife("r2", 16.0)]
    assert violated_checks(lives=lives, directory=[DirectoryAnswer("r1", 20.0, ["r2"])]) == set()


def test_a_ready_router_that_accepts_no_connection_is_found():
    tries = [ConnectionTry("r1", 10.0 + n * 0.5, True, False) for n in range(8)]
    assert violated_checks(tries=tries) == {"connections"}
    assert violated_checks(tries=tries[:6]) == set()
    assert (
        violated_checks(tries=[*tries[:4], ConnectionTry("r1", 11.9, True, True), *tries[4:]])
        == set()
    )
    assert violated_checks(tries=[attrs.evolve(item, is_ready=False) for item in tries]) == set()


def test_runs_for_a_disconnected_caller_are_found():
    left = CallRecord("a5", "ask", "k", 10.0, None, b"", "r1", left_at=10.5)
    calls = [*CLEAN.calls, left]
    started = RunRecord("a5", "i1", 11.6, "growers")
    continued = RunRecord("a5", "i1", 10.1, "growers", ended_at=11.6)
    in_time = RunRecord("a5", "i1", 10.1, "growers", ended_at=11.4)
    assert violated_checks(calls=calls, runs=[*CLEAN.runs, started]) == {"left"}
    assert violated_checks(calls=calls, runs=[*CLEAN.runs, continued]) == {"left"}
    assert violated_checks(calls=calls, runs=[*CLEAN.runs, in_time]) == set()
    forwarded = attrs.evolve(continued, sent_by="r2")
    for place, violated in (("r2", set()), ("r3", {"left"})):
        suspended = [Trouble(place, 10.4, 12.0)]
        runs = [*CLEAN.runs, forwarded]
        assert violated_checks(calls=calls, runs=runs, suspensions=suspended) == violated


RATED = attrs.evolve(BOUNDS, rates=(RateBound("greedy", 100, 8.0, 300.0),))


def test_a_tenant_that_exceeds_its_rate_in_a_window_is_found():
    runs = [RunRecord(f"r{n}", "i1", 10.0 + n, "greedy") for n in (0, 3, 6, 9, 12)]
    stream = b"id: 1\nx\n\nid: 2\ny\n\n"
    calls = [CallRecord(run.request_id, "greedy", "k", 9.0, 200, stream) for run in runs]
    history = attrs.evolve(CLEAN, runs=runs, calls=calls)
    assert check_all(history, RATED) == []
    more = [*runs, RunRecord("r0", "i2", 13.0, "greedy")]
    violations = check_all(attrs.evolve(history, runs=more), RATED)
    assert "rates: greedy: 400 units within 8.0 s of 10.0" in violations


def test_a_tenant_that_is_never_served_is_found():
    history = attrs.evolve(CLEAN, runs=[])
    assert "rates used: greedy: never served" in check_all(history, RATED)


def test_refusals_of_a_greedy_tenant_do_not_count_as_unserved_callers():
    tries = [ConnectionTry("r", 10.0, True, True)]
    served = [CallRecord(f"s{n}", "slip", "k", 10.0, 200, b"answer to s%d" % n) for n in range(20)]
    greedy = [CallRecord(f"g{n}", "greedy", "k", 10.0, 429, b"") for n in range(90)]
    history = attrs.evolve(CLEAN, calls=[*served, *greedy], runs=[], tries=tries)
    assert check_all(history, BOUNDS) == []
    refused = [attrs.evolve(call, status=503, body=b"") for call in served]
    assert check_all(attrs.evolve(history, calls=[*refused, *greedy]), BOUNDS) != []


def test_a_run_under_another_callers_tenant_is_found():
    calls = [CallRecord("g1", "greedy", "k", 10.0, None, b"")]
    for tenant, is_clean in (("greedy", True), ("growers", False), (None, False)):
        runs = [RunRecord("g1", "i1", 10.1, tenant)]
        violations = check_all(attrs.evolve(CLEAN, calls=calls, runs=runs), BOUNDS)
        assert (violations == []) == is_clean


LIMIT_BOUND = LimitBound(
    window_s=4.0, rate_factor=1.5, extra_requests=5, propagation_s=3.0, reaction_s=0.5
)


def limit_violations(times, router_of=lambda _number: "r1", **changes):
    """Return the violations found for a runner that advertises 1 request per second."""
    calls = [
        CallRecord(f"l{number}", "once", "k", at, 503, b"", router_of(number))
        for number, at in enumerate(times)
    ]
    arrivals = [LimitArrival(f"l{number}", "i1", 1, at, 1.0) for number, at in enumerate(times)]
    history = attrs.evolve(CLEAN, calls=calls, runs=[], limit_arrivals=arrivals, **changes)
    violations = check_all(history, attrs.evolve(BOUNDS, limit=LIMIT_BOUND))
    return [text for text in violations if text.startswith("limits: ")]


FIRST_ARRIVAL = [10.0]
EXCESS_ARRIVALS = [15.0 + number / 4 for number in range(12)]


def test_requests_above_a_runner_limit_are_found():
    assert limit_violations([*FIRST_ARRIVAL, *EXCESS_ARRIVALS]) != []
    assert limit_violations([*FIRST_ARRIVAL, *EXCESS_ARRIVALS[:11]]) == []


def test_requests_before_a_limit_has_propagated_do_not_count():
    early = [10.2 + number / 5 for number in range(12)]
    assert limit_violations([*FIRST_ARRIVAL, *early]) == []


def test_requests_count_only_after_the_routers_own_first_limited_response():
    times = [*FIRST_ARRIVAL, *EXCESS_ARRIVALS]
    assert limit_violations(times, lambda number: f"r{number}") == []


def test_only_routers_with_recent_faults_are_excused():
    times = [*FIRST_ARRIVAL, *EXCESS_ARRIVALS]
    trouble = [Trouble("r1", 12.0, 13.0)]
    assert limit_violations(times, troubles=trouble) == []
    other = [Trouble("r2", 12.0, 13.0)]
    assert limit_violations(times, troubles=other) != []
    started = [RouterLife("r1", 14.0)]
    assert limit_violations(times, lives=started) == []


def partition_calls(served_there, count=20):
    there = [
        CallRecord(f"t{n}", "slip", "k", 14.0 + n / 10, 200 if n < served_there else 503, b"", "a")
        for n in range(count)
    ]
    elsewhere = [
        CallRecord(f"e{n}", "slip", "k", 14.0 + n / 10, 200, b"", "b") for n in range(count)
    ]
    answered = [
        attrs.evolve(call, body=b"answer to " + call.request_id.encode())
        for call in [*there, *elsewhere]
    ]
    return answered


def partition_violations(calls, partition=("a", 10.0, 20.0), **changes):
    history = attrs.evolve(
        CLEAN, calls=calls, runs=[], partitions=[Partition(*partition)], **changes
    )
    return [text for text in check_all(history, BOUNDS) if text.startswith("partitions")]


def test_a_partitioned_router_that_fails_its_callers_is_found():
    assert len(partition_violations(partition_calls(served_there=5))) == 1
    assert partition_violations(partition_calls(served_there=18)) == []
    assert partition_violations(partition_calls(served_there=10)) == []


def test_calls_soon_after_the_begin_of_a_partition_do_not_count():
    assert partition_violations(partition_calls(served_there=5), ("a", 13.0, 20.0)) == []


def test_a_partitioned_router_with_other_faults_is_excused():
    calls = partition_calls(served_there=5)
    assert partition_violations(calls, troubles=[Trouble("a", 15.0, 16.0)]) == []
    assert partition_violations(calls, lives=[RouterLife("a", 12.0)]) == []
    assert len(partition_violations(calls, troubles=[Trouble("b", 15.0, 16.0)])) == 1


def notice_history(arrivals, **changes):
    """Return a history in which router r0 returned an announced drain of i1 at 10.0."""
    calls = [
        CallRecord("n0", "slip", "k", 9.9, 200, b"answer to n0", "r0", None, 10.0),
        *(CallRecord(item.request_id, "slip", "k", item.at, 503, b"", "r0") for item in arrivals),
    ]
    first = NoticeArrival("n0", "r0", "i1", 1, 9.95, announces_drain=True)
    fields = {"calls": calls, "runs": [], "notice_arrivals": [first, *arrivals]}
    return {**fields, **changes}


def test_a_late_request_to_a_runner_that_announced_its_drain_is_found():
    late = NoticeArrival("n1", "r0", "i1", 1, 12.1)
    assert violated_checks(**notice_history([late])) == {"drains"}
    in_time = attrs.evolve(late, at=11.9)
    other_router = attrs.evolve(late, router="r1")
    other_start = attrs.evolve(late, born_ms=2)
    for allowed in (in_time, other_router, other_start):
        assert violated_checks(**notice_history([allowed])) == set()


def test_a_restart_or_suspension_of_the_router_excuses_a_late_request():
    late = NoticeArrival("n1", "r0", "i1", 1, 12.1)
    restarted = [RouterLife("r0", 1.0, ended_at=11.0), RouterLife("r0", 11.2)]
    assert violated_checks(**notice_history([late], lives=restarted)) == set()
    suspended = [Trouble("r0", 10.5, 11.0)]
    assert violated_checks(**notice_history([late], suspensions=suspended)) == set()
    # What harms the store or the router's links to it excuses nothing.
    assert violated_checks(**notice_history([late], troubles=suspended)) == {"drains"}
    cut_off = [Partition("r0", 10.5, 11.0)]
    assert violated_checks(**notice_history([late], partitions=cut_off)) == {"drains"}


def test_a_third_request_within_a_requested_backoff_is_found():
    refusal = NoticeArrival("n1", "r0", "i2", 1, 10.0, backoff_s=3.0)
    further = [NoticeArrival(f"n{n}", "r0", "i2", 1, 10.0 + 0.6 * n) for n in (2, 3, 4)]
    assert violated_checks(**notice_history([refusal, *further])) == {"backoffs"}
    assert violated_checks(**notice_history([refusal, *further[:2]])) == set()
    in_flight = attrs.evolve(further[0], at=10.4)
    afterwards = attrs.evolve(further[0], at=13.1)
    others = attrs.evolve(further[0], router="r1")
    for allowed in (in_flight, afterwards, others):
        assert violated_checks(**notice_history([refusal, allowed, *further[1:]])) == set()
    cut_off = [Partition("r0", 10.5, 11.0)]
    assert violated_checks(**notice_history([refusal, *further], partitions=cut_off)) == set()


def test_only_a_link_that_was_harmed_at_the_refusal_excuses_requests_within_the_backoff():
    refusal = NoticeArrival("n1", "r0", "i2", 1, 10.0, backoff_s=3.0)
    history = notice_history(
        [refusal, *(NoticeArrival(f"n{n}", "r0", "i2", 1, 10.0 + 0.6 * n) for n in (2, 3, 4))]
    )
    for harmed, violated in (
        (Trouble("i2", 9.0, 10.2), set()),
        (Trouble("i2", 9.0, 9.9), {"backoffs"}),
        (Trouble("i2", 10.1, 12.0), {"backoffs"}),
        (Trouble("i1", 9.0, 12.0), {"backoffs"}),
    ):
        assert violated_checks(**history, harmed_links=[harmed]) == violated
