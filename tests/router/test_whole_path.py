"""Real router processes on loopback with a simulated platform, and failures explained from logs."""

import contextlib
import json
import signal
from pathlib import Path

import pytest
from click.testing import CliRunner
from platform_deployment import MODEL, PlatformDeployment

from martenrun.cli.main import main
from martenrun.platform.standins.runner import Fault


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


def first_time(fault):
    """Return a fault that affects the first request only."""
    faults = [fault]
    return lambda: faults.pop() if faults else Fault.NONE


def strike(deployment, service, fault):
    shared = first_time(fault)
    for runner in deployment.runners:
        if runner.service == service:
            runner.fault = shared


def explained(deployment, request_id):
    logs = [str(router.log) for router in deployment.routers]
    result = CliRunner().invoke(main, ["explain", request_id, *logs])
    return result.output


def wait_explained(deployment, request_id, *words):
    """Wait until the explanation of a request contains these words; logs lag its response."""
    found = ""

    def is_explained():
        nonlocal found
        found = explained(deployment, request_id)
        return all(word in found for word in words)

    with contextlib.suppress(TimeoutError):
        deployment.wait(is_explained)
    assert all(word in found for word in words), found


def test_requests_of_every_kind_are_served_once_and_unchanged(deployment):
    for path in ("/pay/x?q=1", "/slip/x", "/ask/x", "/once/x"):
        request_id = "calm" + path.replace("/", "-").replace("?", "-")
        answer = deployment.ask(path, request_id)
        assert answer.status == 200, answer.data
        runs = deployment.runs_of(request_id)
        assert len(runs) == 1
        assert runs[0].path == path
        assert runs[0].tenant == "growers" and not runs[0].has_key
        if path.startswith("/pay"):
            assert runs[0].body == b"body of " + request_id.encode()
        if path.startswith(("/ask", "/once")):
            assert answer.data.count(b"\n\n") == 6
            assert runs[0].salt.startswith(f"{MODEL}/1/")


def test_unknown_routes_and_keys_are_denied(deployment):
    assert deployment.ask("/nowhere/", "deny-1").status == 404
    assert deployment.ask("/slip/x", "deny-2", key="wrong").status == 401
    assert deployment.runs_of("deny-1") + deployment.runs_of("deny-2") == []


def test_an_unsafe_request_whose_answer_is_lost_runs_once_and_its_end_is_explained(deployment):
    strike(deployment, "ledger", Fault.LOST_ANSWER)
    answer = deployment.ask("/pay/x", "lost-1")
    assert answer.status == 502
    assert len(deployment.runs_of("lost-1")) == 1
    words = ("failure=broken", "step=answer unknown", "configuration_age_ms")
    wait_explained(deployment, "lost-1", *words)


def test_a_safe_request_whose_answer_is_lost_is_served_by_another_runner(deployment):
    strike(deployment, "ledger", Fault.LOST_ANSWER)
    assert deployment.ask("/slip/x", "lost-2").status == 200
    assert len(deployment.runs_of("lost-2")) == 2


def test_a_request_that_no_runner_takes_is_refused_with_a_time_and_explained(deployment):
    for runner in deployment.runners:
        runner.fault = lambda: Fault.FULL
    answer = deployment.ask("/pay/x", "full-1")
    assert answer.status == 503
    assert float(answer.headers["Retry-After"]) > 0
    assert deployment.runs_of("full-1") == []
    wait_explained(deployment, "full-1", "reason=", "failure=not executed")


def test_a_stream_that_breaks_midway_goes_on_elsewhere_after_its_last_whole_event(deployment):
    strike(deployment, "llm", Fault.CUT_MIDWAY)
    answer = deployment.ask("/ask/x", "cut-1")
    ids = [int(line[4:]) for line in answer.data.split(b"\n") if line.startswith(b"id: ")]
    assert ids == [1, 2, 3, 4, 5, 6]
    assert len(deployment.runs_of("cut-1")) == 2


def test_a_stream_that_must_not_be_resumed_is_broken_off_and_explained(deployment):
    strike(deployment, "llm", Fault.CUT_MIDWAY)
    with pytest.raises(Exception, match=r"IncompleteRead|InvalidChunk|Connection broken"):
        deployment.ask("/once/x", "cut-2")
    assert len(deployment.runs_of("cut-2")) == 1
    wait_explained(deployment, "cut-2", "broken_off", "step=break off")


def test_an_answer_without_its_runners_signature_never_reaches_the_caller(deployment):
    strike(deployment, "ledger", Fault.NO_SIGNATURE)
    answer = deployment.ask("/pay/x", "forged-1")
    assert answer.status == 502 and b"forged" not in answer.data


def test_a_revoked_key_and_a_new_one_are_in_force_everywhere(deployment):
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


def test_named_weights_reach_every_runner_by_one_holder(deployment):
    deployment.store.put("versions", MODEL, {"model": MODEL, "version": 2})
    runners = [runner for runner in deployment.runners if runner.model]
    deployment.wait(lambda: all(runner.weights == 2 for runner in runners))
    orders = [order for runner in runners for order in runner.orders]
    assert len({order["holder"] for order in orders}) == 1
    assert deployment.ask("/ask/x", "weights-1").status == 200
    assert deployment.runs_of("weights-1")[0].salt.startswith(f"{MODEL}/2/")


def test_figures_are_told_in_prometheus_text(deployment):
    url = deployment.routers[0].url("internal", "/metrics")
    text = deployment.http.request("GET", url, timeout=2).data.decode()
    assert "martenrun_requests_total{" in text
    assert "martenrun_configuration_age_seconds" in text


def test_changed_settings_come_into_force_and_faulty_ones_are_told(deployment):
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


def test_a_drained_runner_gets_no_new_request(deployment):
    leaving = next(runner for runner in deployment.runners if runner.service == "ledger")
    leaving.is_draining = True
    deployment.list_runner(leaving)
    count = len(leaving.runs)
    deployment.wait(lambda: _served_elsewhere(deployment, leaving))
    before = len(leaving.runs)
    for number in range(10):
        assert deployment.ask("/slip/x", f"drain-{number}").status == 200
    assert len(leaving.runs) == before >= count


def _served_elsewhere(deployment, leaving):
    before = len(leaving.runs)
    for router in deployment.routers:
        for _ in range(4):
            deployment.ask("/slip/x", "drain-probe", router)
    return len(leaving.runs) == before


def test_a_router_that_restarts_while_the_store_is_down_learns_from_another(deployment):
    router = deployment.routers[1]
    deployment.stop(router, 9)
    router.process.wait()
    deployment.store.is_down = True
    deployment.start(router)
    deployment.wait(lambda: _answers(deployment, router))
    deployment.wait(lambda: deployment.is_ready(router))
    assert deployment.ask("/slip/x", "outage-1").status in (200, 503)
    deployment.store.is_down = False
    deployment.wait(lambda: deployment.is_ready(router))
    assert deployment.ask("/slip/x", "outage-3", router).status == 200


def test_keys_are_refused_once_no_knowledge_of_them_is_recent(deployment):
    deployment.store.is_down = True
    for router in deployment.routers:
        deployment.wait(
            lambda router=router: deployment.ask("/slip/x", "old", router).status == 503
        )
    refused = deployment.ask("/slip/x", "old-1")
    assert refused.status == 503 and float(refused.headers["Retry-After"]) > 0
    wait_explained(deployment, "old-1", "keys_too_old")
    deployment.store.is_down = False
    for router in deployment.routers:
        deployment.wait(
            lambda router=router: deployment.ask("/slip/x", "back", router).status == 200
        )


def _answers(deployment, router):
    try:
        return deployment.ask("/slip/x", "outage-probe", router).status in (200, 503)
    except Exception:
        return False


def test_runners_that_drained_and_start_again_under_their_id_are_used(deployment):
    runners = [runner for runner in deployment.runners if runner.model is None]
    for runner in runners:
        runner.is_draining = True
        deployment.list_runner(runner)
    deployment.wait(lambda: deployment.ask("/slip/x", "drained").status == 503)
    runners[0].start_again()
    deployment.list_runner(runners[0])
    deployment.wait(lambda: deployment.ask("/slip/x", "started").status == 200)
    assert {run.instance for run in deployment.runs_of("started")} == {runners[0].instance}
    for runner in runners[1:]:
        runner.start_again()
        deployment.list_runner(runner)


def test_a_planned_stop_cuts_nothing_off(deployment):
    """Must be the last test on the deployment because it stops one of the routers."""
    router = deployment.routers[1]
    deployment.stop(router)
    deployment.wait(lambda: not deployment.is_ready(router))
    assert deployment.ask("/slip/x", "stop-1", router).status == 200
    deployment.wait(lambda: len(deployment.addresses()) == 1)
    router.process.wait(timeout=10)
    assert router.process.returncode == 0


def test_a_hang_up_while_a_router_starts_does_not_end_it():
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
