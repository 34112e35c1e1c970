"""Tests for listing and clearing crash-causing requests at the internal interface."""

import pytest
from click.testing import CliRunner
from platform_deployment import PlatformDeployment

from martenrun.cli.main import main

CRASHING = b"crashes its runner"


@pytest.fixture(scope="module")
def deployment():
    with PlatformDeployment(routers=2, model_runners=3) as running:
        running.let_crash(lambda body: body == CRASHING, 1.0)
        yield running


def blame(router, *options):
    address = router.url("internal", "").removeprefix("http://")
    return CliRunner().invoke(main, ["blame", address, *options])


def test_crash_causing_request_is_listed_explained_and_cleared_at_all_routers(deployment):
    first, second = deployment.routers
    statuses = []

    def is_blocked():
        number = len(statuses)
        statuses.append(deployment.ask("/once/x", f"d-{number}", first, body=CRASHING).status)
        return "held back" in blame(second).output

    deployment.wait(is_blocked)
    response = deployment.ask("/once/x", "d-last", second, body=CRASHING)
    assert response.status == 503 and float(response.headers["Retry-After"]) > 60
    fingerprint = blame(first).output.split()[0]
    assert "3 starts ended" in blame(first).output
    metrics = deployment.http.request("GET", first.url("internal", "/metrics")).data
    assert b"requests_held_back 1" in metrics
    logs = [str(router.log) for router in deployment.routers]

    def explained():
        return CliRunner().invoke(main, ["explain", "d-last", *logs]).output

    deployment.wait(lambda: "ends_runners" in explained() and fingerprint in explained())

    assert blame(first, "--clear", fingerprint).output == f"cleared {fingerprint}\n"
    deployment.wait(lambda: "has run whole" in blame(second).output)
    assert "held back" not in blame(second).output


def test_crash_causing_part_is_listed_explained_and_cleared(deployment):
    first, second = deployment.routers
    for runner in deployment.runners:
        runner.crashing_parts = frozenset({"dead01"})
    sent = []

    def is_blocked():
        sent.append(f"p-{len(sent)}")
        prompt = f"f{len(sent)}:600,dead01:300,own:100"
        deployment.ask("/once/x", sent[-1], first, X_Prefix_Hash=prompt)
        return any(
            "held back" in line and "part dead01" in line
            for line in blame(second).output.splitlines()
        )

    deployment.wait(is_blocked)
    prompt = "other:600,dead01:300,own:100"
    response = deployment.ask("/once/x", "p-last", second, X_Prefix_Hash=prompt)
    assert response.status == 503 and float(response.headers["Retry-After"]) > 60
    logs = [str(router.log) for router in deployment.routers]

    def explained():
        return CliRunner().invoke(main, ["explain", "p-last", *logs]).output

    deployment.wait(lambda: "ends_runners" in explained() and "dead01" in explained())
    [line] = [line for line in blame(first).output.splitlines() if "part dead01" in line]
    assert "met only beside" not in line
    for runner in deployment.runners:
        runner.crashing_parts = frozenset()
    assert blame(first, "--clear", line.split()[0]).exit_code == 0
    deployment.wait(
        lambda: deployment.ask("/once/x", "p-clear", second, X_Prefix_Hash=prompt).status == 200
    )


def test_unknown_request_cannot_be_cleared(deployment):
    router = deployment.routers[0]
    assert "List what it knows first" in blame(router, "--clear", "00" * 24).output
    assert "Give a listed fingerprint" in blame(router, "--clear", "no hex").output
    none = CliRunner().invoke(main, ["blame", "127.0.0.1:1"])
    assert none.exit_code == 1 and "internal ports" in none.output
