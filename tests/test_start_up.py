"""What a node imports when it starts, and commands that are imported when they are run."""

import os
import subprocess
import sys

import click
import pytest
from click.testing import CliRunner

from martenrun.cli.bench import bench
from martenrun.cli.main import main

NOT_FOR_NODES = [
    "martenrun.bench",
    "martenrun.proof",
    "martenrun.standins",
    "martenrun.simulation",
    "matplotlib",
    "prompt_toolkit",
    "rich",
    "typer",
]


def test_a_node_imports_nothing_that_it_never_runs() -> None:
    code = (
        "import sys; from click.testing import CliRunner; from martenrun.cli.main import main;"
        "result = CliRunner().invoke(main, ['node', '--help']); assert result.exit_code == 0;"
        "import martenrun.node.process;"
        "from martenrun.sharing.policy import CompiledPolicy; CompiledPolicy('weight');"
        "print(*sys.modules)"
    )
    done = subprocess.run([sys.executable, "-c", code], capture_output=True, check=True)
    imported = set(done.stdout.decode().split())
    assert "martenrun.node.process" in imported
    assert imported.isdisjoint(NOT_FOR_NODES)


def test_native_libraries_start_no_threads_in_a_node() -> None:
    code = (
        "import os; from click.testing import CliRunner; from martenrun.cli.main import main;"
        "result = CliRunner().invoke(main, ['node']); assert result.exit_code == 2, result;"
        "print(len(os.listdir('/proc/self/task')))"
    )
    environment = {k: v for k, v in os.environ.items() if k != "OPENBLAS_NUM_THREADS"}
    done = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, check=True, env=environment
    )
    assert done.stdout.decode().split() == ["1"]


@pytest.mark.parametrize("group", [main, bench])
def test_every_listed_command_can_be_imported(group: click.Group) -> None:
    context = click.Context(group)
    for name in group.list_commands(context):
        command = group.get_command(context, name)
        assert command is not None
        assert command.name == name


def test_an_unknown_command_is_refused() -> None:
    result = CliRunner().invoke(main, ["no-such-command"])
    assert result.exit_code == 2
    assert "No such command" in result.output


def test_the_package_of_the_policy_library_shares_its_compiled_module() -> None:
    code = (
        "import martenrun.sharing.policy, cel, sys;"
        "assert cel.compile is sys.modules['cel.cel'].compile"
    )
    subprocess.run([sys.executable, "-c", code], check=True)
