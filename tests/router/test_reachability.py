"""Detection of services whose runners a router cannot reach."""

from martenrun.router.reachability import FAILURE_VALIDITY_S, Reachability

from .builders import state


def reachability(**runners):
    """Return the detection for services with numbers of runners."""
    states = {
        service: [state(f"{service}{number}", service=service) for number in range(count)]
        for service, count in runners.items()
    }
    return Reachability(lambda service: states.get(service, []))


def test_a_service_is_unreachable_after_two_of_its_runners_failed():
    found = reachability(llm=6)
    found.record_failure("llm", "llm0", 10.0)
    found.record_failure("llm", "llm0", 10.1)
    assert not found.is_unreachable("llm", 10.2)
    found.record_failure("llm", "llm1", 10.2)
    assert found.is_unreachable("llm", 10.3)
    assert found.unreachable_services(10.3) == ["llm"]


def test_a_service_with_one_runner_is_unreachable_after_it_failed():
    found = reachability(llm=1)
    found.record_failure("llm", "llm0", 10.0)
    assert found.is_unreachable("llm", 10.1)


def test_a_response_on_a_new_connection_clears_the_failures():
    found = reachability(llm=6)
    found.record_failure("llm", "llm0", 10.0)
    found.record_response("llm", opened_at=10.1, now=10.2)
    found.record_failure("llm", "llm1", 10.3)
    assert not found.is_unreachable("llm", 10.4)
    found.record_failure("llm", "llm2", 10.5)
    assert found.is_unreachable("llm", 10.6)
    found.record_response("llm", opened_at=10.7, now=10.8)
    assert not found.is_unreachable("llm", 10.9)


# Guards against two runners that are down and pass for the loss of all, while others respond.
def test_failures_before_and_after_a_response_on_an_open_connection_do_not_add_up():
    found = reachability(llm=6)
    found.record_failure("llm", "llm0", 10.0)
    found.record_response("llm", opened_at=9.0, now=10.1)
    found.record_failure("llm", "llm1", 10.2)
    assert not found.is_unreachable("llm", 10.3)
    found.record_failure("llm", "llm0", 10.4)
    assert found.is_unreachable("llm", 10.5)
    found.record_response("llm", opened_at=9.0, now=10.6)
    assert not found.is_unreachable("llm", 10.7) and not found.is_cut_off(10.7)


# Guards against a partition that spares open connections and refuses new ones.
def test_a_service_is_unreachable_if_new_connections_to_all_runners_fail():
    found = reachability(llm=3)
    for number in range(3):
        found.record_failure("llm", f"llm{number}", 10.0 + number)
        found.record_response("llm", opened_at=9.0, now=10.5 + number)
        assert found.is_unreachable("llm", 10.6 + number) == (number == 2)
    assert not found.is_cut_off(12.7)
    found.record_response("llm", opened_at=12.6, now=12.8)
    assert not found.is_unreachable("llm", 12.9)


def test_failures_of_runners_that_have_left_do_not_count():
    found = reachability(llm=2)
    found.record_failure("llm", "gone", 10.0)
    found.record_failure("llm", "llm0", 10.1)
    assert not found.is_unreachable("llm", 10.2)


def test_failures_expire():
    found = reachability(llm=6)
    found.record_failure("llm", "llm0", 10.0)
    found.record_failure("llm", "llm1", 10.0)
    assert found.is_unreachable("llm", 10.0 + FAILURE_VALIDITY_S)
    assert not found.is_unreachable("llm", 10.1 + FAILURE_VALIDITY_S)


def test_a_router_is_cut_off_if_nothing_has_responded_since_the_failures():
    found = reachability(llm=6, ledger=2)
    found.record_response("ledger", 1.0, 9.9)
    found.record_failure("llm", "llm0", 10.0)
    found.record_failure("llm", "llm1", 10.1)
    assert found.is_cut_off(10.2)
    found.record_response("ledger", 1.0, 10.3)
    assert not found.is_cut_off(10.4)
    assert found.is_unreachable("llm", 10.4)


def test_a_router_without_failures_is_not_cut_off():
    found = reachability(llm=6)
    assert not found.is_cut_off(10.0)
    found.record_response("llm", 1.0, 10.0)
    assert not found.is_cut_off(10.1)


# Guards against a cut that goes unnoticed because of a failure long before it.
def test_a_failure_that_has_expired_does_not_date_a_later_partition():
    found = reachability(llm=6, ledger=2)
    found.record_failure("llm", "llm0", 10.0)
    found.record_response("ledger", 1.0, 30.0)
    found.record_failure("llm", "llm1", 40.0)
    found.record_failure("llm", "llm2", 40.1)
    assert found.is_cut_off(40.2)
