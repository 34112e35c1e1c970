"""Measures everything that docs/CAPACITY.md rests on, one run after the other.

Usage: ``scripts/measure_capacity.py --limit-s 1500``.  Results go to docs/measurements/.  A run
that ended is noted, and left out when the command is given again with the same commit; so a
command that reached its limit goes on where it stopped.  Meant for a machine that does nothing
else.

See also: :mod:`martenrun.capacity.fit`.
"""

import json
import os
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from pathlib import Path

import click

ROOT = Path(__file__).resolve().parent.parent
SCRIPTS = ROOT / "scripts"
STATE_FILE = Path(tempfile.gettempdir()) / "martenrun-measure-capacity.json"
MARTENRUN = (sys.executable, "-m", "martenrun.cli")
SCALE_FLAGS = ("--requests-per-node-s", "30", "--phase-s", "3", "--changes", "5")
SCALE_SIZES = (10, 40, 120)
SCALE_SEEDS = (1, 2, 3)
MEMBERSHIP_FLAGS = (
    ("--nodes", "12"),
    ("--nodes", "40"),
    ("--nodes", "120"),
    ("--nodes", "40", "--loss", "0.05", "--idle-s", "60"),
    ("--nodes", "120", "--loss", "0.05"),
    ("--nodes", "370"),
)
FULL_NODES, FULL_RUNNERS = 370, 12_000

Write = Callable[[Path, Sequence[str], str], None]


@dataclass(frozen=True)
class Step:
    """One run: its command, the file its result goes to, and how the result is written.

    ``expected_s`` is what it takes on a quiet machine; a step that would pass the limit waits
    for the next call.
    """

    name: str
    command: tuple[str, ...]
    file: str
    write: Write
    expected_s: float


def replace_file(path: Path, _command: Sequence[str], output: str) -> None:
    """Write the output as the whole file."""
    path.write_text(output, encoding="utf-8")


def _identity(result: dict) -> tuple:
    scenario = result.get("scenario", result)
    return scenario["nodes"], scenario["seed"], scenario.get("with_faults"), scenario.get("loss")


def replace_line(path: Path, _command: Sequence[str], output: str) -> None:
    """Put the output in place of the line with the same size and seed, or at the end."""
    new = json.loads(output)
    lines = path.read_text(encoding="utf-8").splitlines() if path.exists() else []
    kept = [line for line in lines if _identity(json.loads(line)) != _identity(new)]
    path.write_text("\n".join([*kept, output.strip()]) + "\n", encoding="utf-8")


def replace_run(path: Path, command: Sequence[str], output: str) -> None:
    """Put the output in place of the run of the same size, seed and loss, or at the end."""
    text = " ".join(("martenrun", *command[len(MARTENRUN) :]))
    new = json.loads(output)
    runs = json.loads(path.read_text(encoding="utf-8"))["runs"] if path.exists() else []
    runs = [run for run in runs if _identity(run["result"]) != _identity(new)]
    runs.append({"command": text, "result": new})
    path.write_text(json.dumps({"runs": runs}, indent=1) + "\n", encoding="utf-8")


def append_state(path: Path, _command: Sequence[str], output: str) -> None:
    """Add the output to the list of the file, as the state measured last."""
    states = json.loads(path.read_text(encoding="utf-8")) if path.exists() else []
    load = f"{os.getloadavg()[0]:.1f}"
    states.append({"state": "measure_capacity", "load_average": load, **json.loads(output)})
    lines = ",\n".join(f"  {json.dumps(state)}" for state in states)
    path.write_text(f"[\n{lines}\n]\n", encoding="utf-8")


def bench(*arguments: str) -> tuple[str, ...]:
    """Return the command line of a benchmark."""
    return (*MARTENRUN, "bench", *arguments, "--json")


def script(name: str, *arguments: str) -> tuple[str, ...]:
    """Return the command line of a script."""
    return (sys.executable, str(SCRIPTS / name), *arguments)


def scale_step(nodes: int, seed: int) -> Step:
    """Return a scale run without faults."""
    flags = ("--nodes", str(nodes), "--seed", str(seed), *SCALE_FLAGS, "--no-faults")
    expected_s = 2 + 0.35 * nodes
    command = bench("scale", *flags)
    return Step(f"scale {nodes} seed {seed}", command, "scale.jsonl", replace_line, expected_s)


def membership_step(flags: tuple[str, ...]) -> Step:
    """Return a membership run."""
    command = bench("membership", "--seed", "1", *flags)
    name = f"membership {' '.join(flags[1::2])}"
    return Step(name, command, "membership.json", replace_run, 5 + 0.3 * int(flags[1]))


def steps() -> list[Step]:
    """Return every run, the cheap ones first."""
    found = [
        Step("node-state", bench("node-state"), "node-state.json", replace_file, 10),
        Step("index", bench("index"), "routing-index.json", replace_file, 30),
        *(scale_step(nodes, seed) for seed in SCALE_SEEDS for nodes in SCALE_SIZES),
        Step("path", script("bench.py", "path"), "path.json", replace_file, 30),
        Step("control", script("bench.py", "control"), "control-node.json", replace_file, 60),
        Step("streams", script("bench.py", "streams"), "streams.json", replace_file, 60),
        Step("restart", script("measure_restart.py"), "restart.json", append_state, 60),
        *(membership_step(flags) for flags in MEMBERSHIP_FLAGS),
        Step("usage", bench("usage-exchange"), "usage-exchange.json", replace_file, 120),
        Step(
            "configuration",
            bench("configuration", "--nodes", str(FULL_NODES)),
            f"configuration-{FULL_NODES}.json",
            replace_file,
            150,
        ),
        Step(
            "configuration gossip",
            bench("configuration", "--nodes", str(FULL_NODES), "--members", "gossip"),
            f"configuration-gossip-{FULL_NODES}.json",
            replace_file,
            400,
        ),
    ]
    if (SCRIPTS / "measure_feeds.py").exists():
        for rate in (0, 10_800):
            flags = ("32", "--way", "held", "--seconds", "10", "--events-per-s", str(rate))
            command = script("measure_feeds.py", *flags)
            found.append(Step(f"feeds {rate}", command, "engine-feeds.json", append_state, 30))
    full = ("--nodes", str(FULL_NODES), "--runners", str(FULL_RUNNERS), *SCALE_FLAGS)
    found.append(Step("scale full", bench("scale", *full), "scale-full.json", replace_file, 600))
    return found


def read_done(state: Path, commit: str) -> list[str]:
    """Return the names of the steps that this commit has done."""
    if not state.exists():
        return []
    found = json.loads(state.read_text(encoding="utf-8"))
    return found["done"] if found["commit"] == commit else []


def present_commit() -> str:
    """Return the commit that is measured."""
    command = ["git", "-C", str(ROOT), "rev-parse", "HEAD"]
    return subprocess.run(command, check=True, capture_output=True, text=True).stdout.strip()


def run_step(step: Step, directory: Path, limit_s: float) -> bool:
    """Run a step; returns whether it gave a result within the limit."""
    began = time.monotonic()
    try:
        done = subprocess.run(
            step.command, cwd=ROOT, stdout=subprocess.PIPE, timeout=limit_s, check=True, text=True
        )
    except (subprocess.SubprocessError, OSError) as error:
        click.echo(f"{step.name}: no result: {error}", err=True)
        return False
    step.write(directory / step.file, step.command, done.stdout)
    click.echo(f"{step.name}: {time.monotonic() - began:.1f} s", err=True)
    return True


@click.command()
@click.option("--limit-s", default=1_500.0, show_default=True, help="No run ends after this.")
@click.option("--only", multiple=True, help="Names of steps, or their first words.")
@click.option("--again", is_flag=True, help="Also what this commit has done already.")
@click.option("--list", "list_only", is_flag=True, help="Only print the steps.")
@click.option("--out", type=click.Path(path_type=Path), default=ROOT / "docs" / "measurements")
@click.option("--state", type=click.Path(path_type=Path), default=STATE_FILE)
def main(
    limit_s: float, only: tuple[str, ...], again: bool, list_only: bool, out: Path, state: Path
) -> None:
    """Measure every line of the capacity page."""
    until = time.monotonic() + limit_s
    commit = present_commit()
    done = [] if again else read_done(state, commit)
    wanted = [step for step in steps() if not only or step.name.startswith(only)]
    left: list[str] = []
    for step in wanted:
        if list_only:
            click.echo(f"{step.name}: {' '.join(step.command)} -> {step.file}")
            continue
        if step.name in done:
            continue
        left_s = until - time.monotonic()
        if left_s < step.expected_s or not run_step(step, out, left_s):
            left.append(step.name)
            continue
        done.append(step.name)
        state.write_text(json.dumps({"commit": commit, "done": done}), encoding="utf-8")
    if left:
        raise SystemExit(f"not measured: {', '.join(left)}; call again to go on")


if __name__ == "__main__":
    main()
