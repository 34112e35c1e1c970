"""The whole path as separate processes, called with an ordinary OpenAI client."""

import re

import openai
import pytest
import urllib3
from deployment import ADMIN_KEY, Deployment

from martenrun.load.client import CompletionCall, CompletionClient

MODEL = "vine-reader"


@pytest.fixture(scope="module")
def deployment():
    running = Deployment()
    try:
        running.start_platform()
        running.start_engine("zone-a", "readers", MODEL, "--prefill-s-per-block", "0.001")
        running.start_nodes(["zone-a"])
        running.start_agents(["zone-a"])
        running.apply_tenant("growers", "growers-key")
        running.serve_pool("readers", MODEL)
        yield running
    finally:
        running.stop()


@pytest.fixture(params=["agent", "node"])
def edge(deployment, request):
    return deployment.agent_edges[0] if request.param == "agent" else deployment.node_edges[0]


def test_an_ordinary_client_streams_a_chat_and_lists_models(edge):
    client = openai.OpenAI(base_url=f"http://{edge}/v1", api_key="growers-key", max_retries=0)
    assert [model.id for model in client.models.list()] == [MODEL]
    messages = [{"role": "user", "content": "is block seven ripe?"}]
    stream = client.chat.completions.create(
        model=MODEL, messages=messages, max_tokens=5, stream=True
    )
    chunks = [chunk.choices[0].delta.content or "" for chunk in stream if chunk.choices]
    assert len("".join(chunks).split()) == 5
    whole = client.chat.completions.create(model=MODEL, messages=messages, max_tokens=5)
    assert whole.choices[0].message.content == "".join(chunks)


def test_a_repeated_prefix_is_found_in_the_cache(edge):
    client = CompletionClient(edge, "growers-key")
    prompt = edge + "n" * 40_000
    first, second = (
        client.stream(CompletionCall(f"{edge}-{index}", MODEL, prompt)) for index in range(2)
    )
    assert (first.whole, second.whole) == (True, True)
    assert first.cached_tokens == 0
    assert second.cached_tokens == 10_000


def test_the_edge_shows_what_its_tenant_met(edge):
    assert CompletionClient(edge, "growers-key").stream(CompletionCall("m", MODEL, "hello")).whole
    text = urllib3.request("GET", f"http://{edge}/metrics").data.decode()
    labels = '{pool="readers",tenant="growers"}'
    for name in ("time_to_first_token_seconds_count", "queue_wait_seconds_count"):
        assert f"martenrun:{name}{labels}" in text
    for name in ("prompt_tokens_total", "cached_prompt_tokens_total", "output_tokens_total"):
        (value,) = re.findall(f"martenrun:{name}{labels} (.*)", text)
        assert float(value) > 0
    assert 'martenrun:tenant_requests_total{code="ok",pool="readers",tenant="growers"}' in text


@pytest.mark.parametrize(
    ("model", "key", "status", "code"),
    [
        ("unknown", "growers-key", 404, "model_not_found"),
        (MODEL, "wrong-key", 401, "invalid_api_key"),
    ],
)
def test_bad_requests_get_a_typed_error(edge, model, key, status, code):
    record = CompletionClient(edge, key).stream(CompletionCall("bad", model, "hello"))
    assert record.status == status
    assert f'"code":"{code}"' in record.error
    assert '"ran":"no"' in record.error


def test_a_policy_that_would_divide_by_zero_is_refused_when_published(deployment):
    with pytest.raises(RuntimeError, match=r"invalid_object.*guard divisors"):
        deployment.apply("policies", "bad", {"expression": "weight / usage_10s"})


def test_a_node_shows_admissions_by_tenant_and_the_status_of_policies(deployment):
    edge = deployment.node_edges[0]
    assert CompletionClient(edge, "growers-key").stream(CompletionCall("m", MODEL, "hello")).whole
    metrics = urllib3.request("GET", f"http://{edge}/metrics").data.decode()
    assert 'martenrun:admissions_total{outcome="admitted",tenant="growers"}' in metrics
    headers = {"Authorization": f"Bearer {ADMIN_KEY}"}
    status = urllib3.request("GET", f"http://{edge}/admin/v1/status", headers=headers).json()
    assert [policy["pool"] for policy in status["policies"]] == ["readers"]
