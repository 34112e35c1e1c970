"""Sharing policies: publishing checks and failures at run time."""

import re
from pathlib import Path

import pytest

from martenrun.errors import InvalidObjectError
from martenrun.sharing.policy import PolicyInputs, check_policy
from martenrun.sharing.policy_weights import EVALUATIONS_PER_TICK, PolicyWeights

PAGE = Path(__file__).parent.parent / "docs" / "POLICIES.md"
EXAMPLES = re.findall(r"```cel\n(.*?)```", PAGE.read_text(), re.DOTALL)
LOOP = "[1.0].map(weight, weight)"


def test_the_page_has_examples():
    assert len(EXAMPLES) == 5


@pytest.mark.parametrize("expression", [*EXAMPLES, "2", "weight"])
def test_documented_examples_are_accepted(expression):
    check_policy(expression)


@pytest.mark.parametrize(
    ("expression", "named"),
    [
        ("1 / 0", "zero"),
        ("weight / usage_10s", "guard"),
        ("weight % 0", "fails"),
        ("0.0 / 0.0", "nan"),
        ("weight - 5.0", "0 up"),
        ("'much'", "str"),
        ("true", "bool"),
        ("usage_10s > 0.0 ? 1.0 : true", "bool"),
        ("null", "NoneType"),
        ("weight + 1", "decimals"),
        ("hour > 5.0 ? 1.0 : 2.0", "hour"),
        ("weight +", "parse"),
        (LOOP + "[0]", "map"),
        ("[1.0].map // comment\n (weight, weight)[0]", "map"),
        ("'a'.matches('(a+)+') ? 1.0 : 2.0", "matches"),
        ("'\\''.size() == 1 ? 1.0 : 2.0", "escape"),
        ("weight" + " + weight" * 200, "256"),
        ("weight //" + "x" * 5_000, "4096"),
        ("(" * 40 + "weight" + ")" * 40, "nested"),
    ],
)
def test_bad_policies_are_refused_at_publish_with_a_remedy(expression, named):
    with pytest.raises(InvalidObjectError) as caught:
        check_policy(expression)
    assert named in f"{caught.value.message} {caught.value.remedy}"
    assert caught.value.remedy


def test_a_policy_that_fails_at_run_time_keeps_the_last_good_weight_and_shows_it():
    weights = PolicyWeights()
    # Passes no sample check here on purpose: a policy can fail for inputs nobody tried.
    weights.publish("late", "int(queue_length) / int(usage_10s)")
    weights.evaluate([PolicyInputs("a", usage_10s=2.0, queue_length=8.0)])
    assert weights.weights == {"a": 4.0} and not weights.status().is_failing
    weights.evaluate([PolicyInputs("a", usage_10s=0.0), PolicyInputs("new", weight=3.0)])
    assert weights.weights == {"a": 4.0, "new": 3.0}
    status = weights.status()
    assert status.is_failing and status.failing_tenants == 2 and "zero" in status.last_error
    weights.evaluate([PolicyInputs(name, usage_10s=1.0, queue_length=1.0) for name in ("a", "new")])
    assert weights.weights == {"a": 1.0, "new": 1.0} and not weights.status().is_failing


@pytest.mark.parametrize(
    "expression", ["0.0 / usage_10s", "usage_10s - 1.0", "'x'", "weight > 9.0"]
)
def test_not_a_number_negative_string_and_never_true_keep_the_last_good_weight(expression):
    weights = PolicyWeights()
    weights.publish("good", "5.0")
    weights.evaluate([PolicyInputs("a")])
    weights.publish("bad", expression)
    weights.evaluate([PolicyInputs("a")])
    assert weights.weights == {"a": 5.0} and weights.status().failures == 1


def test_a_policy_that_does_not_compile_leaves_the_former_in_force():
    weights = PolicyWeights()
    weights.publish("p", "5.0")
    weights.publish("p", "nonsense +")
    weights.evaluate([PolicyInputs("a")])
    status = weights.status()
    assert (weights.weights, status.in_force, status.is_failing) == ({"a": 5.0}, "5.0", True)
    weights.withdraw()
    weights.evaluate([PolicyInputs("a", weight=2.0)])
    assert weights.weights == {"a": 2.0} and not weights.status().is_failing


def test_evaluations_are_bounded_per_tick_and_every_tenant_has_its_turn():
    weights = PolicyWeights()
    weights.publish("p", "7.0")
    inputs = [PolicyInputs(f"t{number:04}") for number in range(3 * EVALUATIONS_PER_TICK)]
    weights.evaluate(inputs)
    assert weights.status().evaluations == EVALUATIONS_PER_TICK
    for _ in range(2):
        weights.evaluate(inputs)
    assert len(weights.weights) == len(inputs)
