"""The command that checks histories."""

import json

from click.testing import CliRunner

from martenrun.cli.main import main
from martenrun.proof import campaign
from martenrun.proof.checkers.violation import Violation
from martenrun.proof.schedule import draw_schedule
from martenrun.proof.world import Outcome

ARGUMENTS = ["prove", "--histories", "3", "--seed", "1", "--json"]


def test_the_summary_counts_histories_requests_and_faults():
    result = CliRunner().invoke(main, ARGUMENTS)
    summary = json.loads(result.output)
    assert (summary["histories"], summary["first_seed"]) == (3, 1)
    assert summary["operations"] > 50
    assert sum(summary["faults"].values()) == sum(len(draw_schedule(s).faults) for s in (1, 2, 3))


def test_violations_and_crashes_name_their_seed_and_fail_the_command(monkeypatch):
    violation = Violation("streams", "request-1", 1.0, "a gap")

    def run(schedule):
        if schedule.seed == 2:
            raise RuntimeError("stopped")
        return Outcome(schedule, 5, [violation] if schedule.seed == 3 else [])

    monkeypatch.setattr(campaign, "run_schedule", run)
    result = CliRunner().invoke(main, ARGUMENTS)
    summary = json.loads(result.output)
    assert result.exit_code == 1
    assert [item["seed"] for item in summary["violations"]] == [3]
    assert summary["crashes"] == {"2": "RuntimeError: stopped"}
