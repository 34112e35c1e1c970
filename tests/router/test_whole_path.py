"""Real router processes on loopback with a simulated platform; failures are explained from logs."""

import contextlib
import json
import signal
import socket
from pathlib import Path

import pytest
import urllib3
from click.testing import CliRunner
from platform_deployment import MODEL, PlatformDeployment

from martenrun.cli.main import main
from martenrun.platform.standins.runner_records import Fault


@pytest.fixture(scope="module")
def deployment():
    with PlatformDeployment() as running:
        yield running


@pytest.fixture(autouse=True)
def no_faults(request):
    yield
    if "deployment" in request.fixturenames:
        for runner in request.getfixturevalue("deployment").runners:
            runner.fault = lambda: Fault.NONE


def only_first_request(fault):
    """Return a fault that affects the first request only."""
    faults = [fault]
    return lambda: faults.pop() if faults else Fault.NONE


def inject_fault(deployment, service, fault):
    shared = only_first_request(fault)
    for runner in deployment.runners:
        if runner.service == service:
            runner.fault = shared


def explain_request(deployment, request_id):
    logs = [str(router.log) for router in deployment.routers]
    result = CliRunner().invoke(main, ["explain", request_id, *logs])
    return result.output


def wait_for_explanation(deployment, request_id, *words):
    """Wait until the explanation of a request contains these words; logs lag its response."""
    explanation = ""

    def contains_words():
        nonlocal explanation
        explanation = explain_request(deployment, request_id)
        return all(word in explanation for word in words)

    with contextlib.suppress(TimeoutError):
        deployment.wait(contains_words)
    assert all(word in explanation for word in words), explanation


def test_requests_of_every_kind_are_served_once_and_unchanged(deployment):
    for path in ("/pay/x?q=1", "/slip/x", "/ask/x", "/once/x"):
        request_id = "calm" + path.replace("/", "-").replace("?", "-")
        response = deployment.ask(path, request_id)
        assert response.status == 200, response.data
        runs = deployment.runs_of(request_id)
        assert len(runs) == 1
        assert runs[0].path == path
        assert runs[0].tenant == "growers" and not runs[0].has_key
        if path.startswith("/pay"):
            assert runs[0].body == b"body of " + request_id.encode()
        if path.startswith(("/ask", "/once")):
            assert response.data.count(b"\n\n") == 6
            assert runs[0].cache_salt.startswith(f"{MODEL}/1/")


# Guards against requests that offer HTTP/2 and are never answered.
@pytest.mark.parametrize("path", ["/pay/x", "/slip/x", "/once/x"])
def test_a_request_that_offers_another_protocol_is_served_as_any_other(deployment, path):
    request_id = "offer" + path.replace("/", "-")
    offer = {
        "Connection": "Upgrade, HTTP2-Settings",
        "Upgrade": "h2c",
        "HTTP2_Settings": "AAMAAABkAAQAoAAAAAIAAAAA",
    }
    assert deployment.ask(path, request_id, **offer).status == 200
    runs = deployment.runs_of(request_id)
    assert len(runs) == 1
    assert path == "/slip/x" or runs[0].body == b"body of " + request_id.encode()


def test_a_tunnel_request_is_denied(deployment):
    front = urllib3.util.parse_url(deployment.routers[0].url("front", "/"))
    with socket.create_connection((front.host, front.port), timeout=4) as caller:
        head = (
            b"CONNECT b.example:443 HTTP/1.1\r\nHost: b.example\r\nX-Request-Id: tunnel-1\r\n\r\n"
        )
        caller.sendall(head)
        received = b"".join(iter(lambda: caller.recv(4096), b""))
    assert received.startswith(b"HTTP/1.1 404 ")


def test_unknown_routes_and_keys_are_denied(deployment):
    assert deployment.ask("/nowhere/", "deny-1").status == 404
    assert deployment.ask("/slip/x", "deny-2", key="wrong").status == 401
    assert deployment.runs_of("deny-1") + deployment.runs_of("deny-2") == []


def test_an_unsafe_request_with_a_lost_response_runs_once_and_is_explained(deployment):
    inject_fault(deployment, "ledger", Fault.LOST_ANSWER)
    response = deployment.ask("/pay/x", "lost-1")
    assert response.status == 502
    assert len(deployment.runs_of("lost-1")) == 1
    words = ("failure=broken", "step=answer unknown", "configuration_age_ms")
    wait_for_explanation(deployment, "lost-1", *words)


def test_a_safe_request_with_a_lost_response_is_served_by_another_runner(deployment):
    inject_fault(deployment, "ledger", Fault.LOST_ANSWER)
    assert deployment.ask("/slip/x", "lost-2").status == 200
    assert len(deployment.runs_of("lost-2")) == 2


# Guards against a caller that pays twice because its payment looks as if it had not run.
def test_an_unsafe_request_gets_no_promise_that_its_runner_has_not_made(deployment):
    inject_fault(deployment, "ledger", Fault.UNCONFIRMED_REFUSAL)
    response = deployment.ask("/pay/x", "refused-1")
    assert response.status == 502 and response.data == b"failed"
    assert "X-Response-Stamp" not in response.headers
    assert len(deployment.runs_of("refused-1")) == 1
    inject_fault(deployment, "ledger", Fault.UNCONFIRMED_REFUSAL)
    assert deployment.ask("/slip/x", "refused-2").status == 200
    assert len(deployment.runs_of("refused-2")) == 2


def test_a_request_that_no_runner_accepts_gets_a_retry_time_and_is_explained(deployment):
    for runner in deployment.runners:
        runner.fault = lambda: Fault.FULL
    response = deployment.ask("/pay/x", "full-1")
    assert response.status == 503
    assert float(response.headers["Retry-After"]) > 0
    assert deployment.runs_of("full-1") == []
    wait_for_explanation(deployment, "full-1", "reason=", "failure=not executed")


def test_a_broken_stream_is_resumed_at_another_runner_after_its_last_event(deployment):
    inject_fault(deployment, "llm", Fault.CUT_MIDWAY)
    response = deployment.ask("/ask/x", "cut-1")
    ids = [int(line[4:]) for line in response.data.split(b"\n") if line.startswith(b"id: ")]
    assert ids == [1, 2, 3, 4, 5, 6]
    assert len(deployment.runs_of("cut-1")) == 2


def test_an_unresumable_broken_stream_is_aborted_and_explained(deployment):
    inject_fault(deployment, "llm", Fault.CUT_MIDWAY)
    with pytest.raises(Exception, match=r"IncompleteRead|InvalidChunk|Connection broken"):
        deployment.ask("/once/x", "cut-2")
    assert len(deployment.runs_of("cut-2")) == 1
    wait_for_explanation(deployment, "cut-2", "broken_off", "step=break off")


def test_an_unsigned_response_is_not_returned_to_the_caller(deployment):
    inject_fault(deployment, "ledger", Fault.NO_SIGNATURE)
    response = deployment.ask("/pay/x", "forged-1")
    assert response.status == 502 and b"forged" not in response.data


def test_added_and_revoked_keys_take_effect_at_all_routers(deployment):
    deployment.publish(5, keys=("key-1", "key-2"))
    for router in deployment.routers:
        deployment.wait(
            lambda router=router: deployment.ask("/slip/x", "new", router, "key-2").status == 200
        )
    deployment.publish(6)
    for router in deployment.routers:
        deployment.wait(
            lambda router=router: deployment.ask("/slip/x", "old", router, "key-2").status == 401
        )


def test_target_weights_are_ordered_at_every_runner_by_one_lease_holder(deployment):
    deployment.store.put("versions", MODEL, {"model": MODEL, "version": 2})
    runners = [runner for runner in deployment.runners if runner.model]
    deployment.wait(lambda: all(runner.weights_version == 2 for runner in runners))
    orders = [order for runner in runners for order in runner.orders]
    assert len({order["holder"] for order in orders}) == 1
    assert deployment.ask("/ask/x", "weights-1").status == 200
    assert deployment.runs_of("weights-1")[0].cache_salt.startswith(f"{MODEL}/2/")


def test_metrics_are_served_in_prometheus_text_format(deployment):
    url = deployment.routers[0].url("internal", "/metrics")
    text = deployment.http.request("GET", url, timeout=2).data.decode()
    assert "martenrun_requests_total{" in text
    assert "martenrun_configuration_age_seconds" in text


def test_changed_settings_are_applied_and_invalid_ones_logged(deployment):
    router = deployment.routers[0]
    good = router.settings.read_text()
    router.settings.write_text(good.replace("grace_s = 8", 'grace_s = "long"'))
    deployment.stop(router, 1)
    deployment.wait(lambda: "settings_faulty" in router.log.read_text())
    assert "bounds.grace_s" in router.log.read_text()
    router.settings.write_text(good.replace("grace_s = 8", "grace_s = 9"))
    deployment.wait(lambda: "settings_read" in router.log.read_text())
    assert deployment.ask("/slip/x", "settings-1").status == 200
    router.settings.write_text(good)


def test_logs_are_json_lines_without_keys(deployment):
    for router in deployment.routers:
        text = router.log.read_text()
        assert "key-1" not in text and "key-2" not in text
        events = {json.loads(line)["event"] for line in text.splitlines()}
        assert "started" in events


def test_a_draining_runner_gets_no_new_requests(deployment):
    draining = next(runner for runner in deployment.runners if runner.service == "ledger")
    draining.is_draining = True
    deployment.list_runner(draining)
    count = len(draining.runs)
    deployment.wait(lambda: _served_elsewhere(deployment, draining))
    before = len(draining.runs)
    for number in range(10):
        assert deployment.ask("/slip/x", f"drain-{number}").status == 200
    assert len(draining.runs) == before >= count


def _served_elsewhere(deployment, draining):
    before = len(draining.runs)
    for router in deployment.routers:
        for _ in range(4):
            deployment.ask("/slip/x", "drain-probe", router)
    return len(draining.runs) == before


def test_a_router_restarted_during_a_store_outage_gets_its_state_from_another(deployment):
    router = deployment.routers[1]
    deployment.stop(router, 9)
    router.process.wait()
    deployment.store.is_down = True
    deployment.start(router)
    deployment.wait(lambda: _is_serving(deployment, router))
    deployment.wait(lambda: deployment.is_ready(router))
    assert deployment.ask("/slip/x", "outage-1").status in (200, 503)
    deployment.store.is_down = False
    deployment.wait(lambda: deployment.is_ready(router))
    assert deployment.ask("/slip/x", "outage-3", router).status == 200


def test_keys_are_refused_once_the_configuration_is_too_old(deployment):
    deployment.store.is_down = True
    for router in deployment.routers:
        deployment.wait(
            lambda router=router: deployment.ask("/slip/x", "old", router).status == 503
        )
    refused = deployment.ask("/slip/x", "old-1")
    assert refused.status == 503 and float(refused.headers["Retry-After"]) > 0
    wait_for_explanation(deployment, "old-1", "keys_too_old")
    deployment.store.is_down = False
    for router in deployment.routers:
        deployment.wait(
            lambda router=router: deployment.ask("/slip/x", "back", router).status == 200
        )


def _is_serving(deployment, router):
    try:
        return deployment.ask("/slip/x", "outage-probe", router).status in (200, 503)
    except Exception:
        return False


def test_drained_runners_that_restart_under_their_id_are_used(deployment):
    runners = [runner for runner in deployment.runners if runner.model is None]
    for runner in runners:
        runner.is_draining = True
        deployment.list_runner(runner)
    deployment.wait(lambda: deployment.ask("/slip/x", "drained").status == 503)
    runners[0].start_new_instance()
    deployment.list_runner(runners[0])
    deployment.wait(lambda: deployment.ask("/slip/x", "started").status == 200)
    assert {run.instance for run in deployment.runs_of("started")} == {runners[0].instance}
    for runner in runners[1:]:
        runner.start_new_instance()
        deployment.list_runner(runner)


def test_a_planned_stop_aborts_no_request(deployment):
    """Must be the last test on the deployment because it stops one of the routers."""
    router = deployment.routers[1]
    deployment.stop(router)
    deployment.wait(lambda: not deployment.is_ready(router))
    assert deployment.ask("/slip/x", "stop-1", router).status == 200
    deployment.wait(lambda: len(deployment.addresses()) == 1)
    router.process.wait(timeout=10)
    assert router.process.returncode == 0


def test_a_starting_router_survives_sighup():
    """Guards against the default action of SIGHUP, seen in the soak with seeds 101 and 302."""
    with PlatformDeployment(routers=1) as running:
        router = running.routers[0]
        running.stop(router, signal.SIGKILL)
        router.process.wait(timeout=10)
        running.start(router)
        maps = Path(f"/proc/{router.process.pid}/maps")
        running.wait(lambda: "msgspec" in maps.read_text())
        running.stop(router, signal.SIGHUP)
        running.wait(lambda: running.is_ready(router) or router.process.poll() is not None)
        assert router.process.poll() is None
