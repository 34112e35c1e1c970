"""Measures everything that docs/CAPACITY.md rests on, one run after the other.

Usage: ``scripts/measure_capacity.py --limit-s 1500``.  Results go to docs/measurements/.  A run
that ended is noted, and left out when the command is given again with the same commit; so a
command that reached its limit goes on where it stopped.  Meant for a machine that does nothing
else.  ``--small`` tries the whole sequence at small sizes, on a copy of the results, and fits them;
its figures are not results.

See also: :mod:`martenrun.capacity.fit`.
"""

import contextlib
import json
import os
import shutil
import signal
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass, replace
from pathlib import Path

import click

from martenrun.capacity.fit import fit_slopes

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
    ("--nodes", "120", "--restarts", "12"),
    ("--nodes", "40", "--loss", "0.05", "--idle-s", "60"),
    ("--nodes", "120", "--loss", "0.05"),
    ("--nodes", "370"),
)
FULL_NODES, FULL_RUNNERS = 370, 12_000
SMALL_SCALE = ("--nodes", "6", "--runners", "60", "--phase-s", "1", "--changes", "2")
SMALL_MEMBERSHIP = ("--nodes", "12", "--deaths", "1", "--restarts", "2", "--idle-s", "5")
SMALL_CONFIGURATION = ("--nodes", "12", "--duration-s", "20", "--cut-s", "5", "--objects", "20")
END_TIMEOUT_S = 20.0
"""Time that a run which is out of time has to end its own processes, in seconds."""

RESULTS = ROOT / "docs" / "measurements"
Write = Callable[[Path, Sequence[str], str], None]
Note = Callable[[str], None]


@dataclass(frozen=True)
class Step:
    """One run: its command, the file its result goes to, and how the result is written.

    ``expected_s`` is what it takes on a quiet machine; a step that would pass the limit waits
    for the next call.  ``small`` are arguments that a trial adds: the last of a flag counts.
    """

    name: str
    command: tuple[str, ...]
    file: str
    write: Write
    expected_s: float
    small: tuple[str, ...] = ()


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
    name = f"scale {nodes} seed {seed}"
    return Step(name, command, "scale.jsonl", replace_line, expected_s, SMALL_SCALE)


def membership_step(flags: tuple[str, ...]) -> Step:
    """Return a membership run."""
    command = bench("membership", "--seed", "1", *flags)
    name = f"membership {' '.join(flags[1::2])}"
    expected_s = 5 + 0.45 * int(flags[1])
    return Step(name, command, "membership.json", replace_run, expected_s, SMALL_MEMBERSHIP)


def steps() -> list[Step]:
    """Return every run, the cheap ones first."""
    found = [
        Step(
            "node-state",
            bench("node-state"),
            "node-state.json",
            replace_file,
            10,
            ("--nodes", "20", "--runners", "600"),
        ),
        Step(
            "machine-list",
            bench("machine-list"),
            "machine-list.json",
            replace_file,
            10,
            ("--nodes", "20", "--runners", "600", "--repeats", "3"),
        ),
        Step(
            "index",
            bench("index"),
            "routing-index.json",
            replace_file,
            30,
            ("--blocks", "20000"),
        ),
        *(scale_step(nodes, seed) for seed in SCALE_SEEDS for nodes in SCALE_SIZES),
        Step("path", script("bench.py", "path"), "path.json", replace_file, 30),
        Step("control", script("bench.py", "control"), "control-node.json", replace_file, 60),
        Step("streams", script("bench.py", "streams"), "streams.json", replace_file, 130),
        Step("front", script("bench.py", "front"), "streams-front.json", replace_file, 130),
        Step("restart", script("measure_restart.py"), "restart.json", append_state, 60, ("1",)),
        *(membership_step(flags) for flags in MEMBERSHIP_FLAGS),
        Step(
            "usage",
            bench("usage-exchange"),
            "usage-exchange.json",
            replace_file,
            120,
            ("--nodes", "12", "--tenants", "50"),
        ),
        Step(
            "configuration",
            bench("configuration", "--nodes", str(FULL_NODES)),
            f"configuration-{FULL_NODES}.json",
            replace_file,
            150,
            SMALL_CONFIGURATION,
        ),
        Step(
            "configuration gossip",
            bench("configuration", "--nodes", str(FULL_NODES), "--members", "gossip"),
            f"configuration-gossip-{FULL_NODES}.json",
            replace_file,
            400,
            SMALL_CONFIGURATION,
        ),
    ]
    if (SCRIPTS / "measure_feeds.py").exists():
        for rate in (0, 10_800):
            flags = ("32", "--way", "held", "--seconds", "10", "--events-per-s", str(rate))
            command = script("measure_feeds.py", *flags)
            name = f"feeds {rate}"
            small = ("--seconds", "2")
            found.append(Step(name, command, "engine-feeds.json", append_state, 30, small))
    full = ("--nodes", str(FULL_NODES), "--runners", str(FULL_RUNNERS), *SCALE_FLAGS)
    command = bench("scale", *full)
    found.append(Step("scale full", command, "scale-full.json", replace_file, 600, SMALL_SCALE))
    return found


def small_step(step: Step) -> Step:
    """Return a step at a small size."""
    return replace(step, command=(*step.command, *step.small), expected_s=min(step.expected_s, 60))


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


def output_of(command: Sequence[str], limit_s: float) -> str:
    """Return what a command prints; raises SubprocessError if it fails or takes too long.

    A command that is out of time is interrupted first, so that it ends what it has started.
    """
    with subprocess.Popen(command, cwd=ROOT, stdout=subprocess.PIPE, text=True) as process:
        try:
            output, _none = process.communicate(timeout=limit_s)
        except BaseException:
            process.send_signal(signal.SIGINT)
            with contextlib.suppress(subprocess.TimeoutExpired):
                process.communicate(timeout=END_TIMEOUT_S)
            process.kill()
            raise
    if process.returncode:
        raise subprocess.CalledProcessError(process.returncode, command)
    return output


def run_step(step: Step, directory: Path, limit_s: float) -> bool:
    """Run a step; returns whether it gave a result within the limit."""
    began = time.monotonic()
    try:
        output = output_of(step.command, limit_s)
    except (subprocess.SubprocessError, OSError) as error:
        click.echo(f"{step.name}: no result: {error}", err=True)
        return False
    step.write(directory / step.file, step.command, output)
    click.echo(f"{step.name}: {time.monotonic() - began:.1f} s", err=True)
    return True


def run_steps(wanted: Sequence[Step], out: Path, limit_s: float, note: Note) -> list[str]:
    """Run steps until the limit; return the names of those that gave no result."""
    until = time.monotonic() + limit_s
    left: list[str] = []
    for number, step in enumerate(wanted, start=1):
        left_s = until - time.monotonic()
        click.echo(
            f"[{number}/{len(wanted)}] {step.name}: about {step.expected_s:.0f} s, "
            f"{left_s:.0f} s to the limit",
            err=True,
        )
        if left_s < step.expected_s or not run_step(step, out, left_s):
            left.append(step.name)
        else:
            note(step.name)
    return left


def note_done(state: Path, commit: str, done: list[str]) -> Note:
    """Return what adds a step's name to those that this commit has done."""

    def note(name: str) -> None:
        done.append(name)
        state.write_text(json.dumps({"commit": commit, "done": done}), encoding="utf-8")

    return note


def try_small(wanted: Sequence[Step], limit_s: float) -> list[str]:
    """Run steps at small sizes on a copy of the results; return those that gave no result."""
    with tempfile.TemporaryDirectory(prefix="martenrun-small-") as directory:
        copy = Path(directory) / "measurements"
        shutil.copytree(RESULTS, copy)
        left = run_steps([small_step(step) for step in wanted], copy, limit_s, lambda _name: None)
        click.echo(f"{len(fit_slopes(copy))} slopes fitted from the trial", err=True)
    return left


@click.command()
@click.option("--limit-s", default=1_500.0, show_default=True, help="No run ends after this.")
@click.option("--only", multiple=True, help="Names of steps, or their first words.")
@click.option("--skip", multiple=True, help="Leave out steps with this in their name, as full.")
@click.option("--again", is_flag=True, help="Also what this commit has done already.")
@click.option("--small", is_flag=True, help="Only try that every step runs; keeps no result.")
@click.option("--list", "list_only", is_flag=True, help="Only print the steps.")
@click.option("--out", type=click.Path(path_type=Path), default=RESULTS)
@click.option("--state", type=click.Path(path_type=Path), default=STATE_FILE)
def main(
    limit_s: float,
    only: tuple[str, ...],
    skip: tuple[str, ...],
    again: bool,
    small: bool,
    list_only: bool,
    out: Path,
    state: Path,
) -> None:
    """Measure every line of the capacity page."""
    commit = present_commit()
    done = [] if again or small else read_done(state, commit)
    wanted = [
        step
        for step in steps()
        if (not only or step.name.startswith(only))
        and not any(word in step.name for word in skip)
        and step.name not in done
    ]
    if list_only:
        for step in wanted:
            command = " ".join(step.command)
            click.echo(f"{step.name}: {command} -> {step.file}, about {step.expected_s:.0f} s")
        click.echo(f"about {sum(step.expected_s for step in wanted):.0f} s in all")
        return
    if small:
        left = try_small(wanted, limit_s)
    else:
        left = run_steps(wanted, out, limit_s, note_done(state, commit, done))
    if left:
        raise SystemExit(f"not measured: {', '.join(left)}; call again to go on")


if __name__ == "__main__":
    main()
