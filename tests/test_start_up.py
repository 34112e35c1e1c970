"""What a node imports when it starts, and commands that are imported when they are run."""

import os
import socket
import subprocess
import sys

import click
import pytest
from click.testing import CliRunner
from deployment import free_address

from martenrun.cli.bench import bench
from martenrun.cli.main import main

NOT_FOR_NODES = [
    "martenrun.bench",
    "martenrun.proof",
    "martenrun.standins",
    "martenrun.simulation",
    "matplotlib",
    "prompt_toolkit",
    "pydantic",
    "rich",
    "typer",
]


def test_a_node_imports_nothing_that_it_never_runs() -> None:
    code = (
        "import sys; from click.testing import CliRunner; from martenrun.cli.main import main;"
        "result = CliRunner().invoke(main, ['node', '--help']); assert result.exit_code == 0;"
        "import martenrun.node.process, martenrun.node.front;"
        "from martenrun.sharing.policy import CompiledPolicy; CompiledPolicy('weight');"
        "print(*sys.modules)"
    )
    done = subprocess.run([sys.executable, "-c", code], capture_output=True, check=True)
    imported = set(done.stdout.decode().split())
    assert "martenrun.node.process" in imported
    assert imported.isdisjoint(NOT_FOR_NODES)


def test_an_operators_command_imports_no_part_of_a_node() -> None:
    code = "import sys, martenrun.cli.admin; print(*sys.modules)"
    done = subprocess.run([sys.executable, "-c", code], capture_output=True, check=True)
    imported = set(done.stdout.decode().split())
    assert "martenrun.admin.client" in imported
    assert imported.isdisjoint(["numpy", "werkzeug", "thriftpy2", "martenrun.admin.application"])


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


@pytest.mark.parametrize(("own_value", "is_mapped"), [(None, True), ("33554432", False)])
def test_large_blocks_are_mapped_also_after_a_larger_one_was_freed(own_value, is_mapped) -> None:
    code = (
        "import ctypes; from martenrun.cli.libraries import give_back_large_blocks as wanted;"
        "wanted(); c = ctypes.CDLL(None); c.malloc.restype = ctypes.c_void_p;"
        "c.free.argtypes = [ctypes.c_void_p]; c.free(c.malloc(8_000_000));"
        "maps = open('/proc/self/maps'); heap = [l for l in maps if '[heap]' in l][0].split()[0];"
        "first, last = [int(end, 16) for end in heap.split('-')];"
        "print(not first <= c.malloc(1_000_000) < last + 2_000_000)"
    )
    environment = {k: v for k, v in os.environ.items() if k != "MALLOC_MMAP_THRESHOLD_"}
    if own_value is not None:
        environment["MALLOC_MMAP_THRESHOLD_"] = own_value
    done = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, check=True, env=environment
    )
    assert done.stdout.decode().split() == [str(is_mapped)]


def test_a_node_joins_the_others_before_its_http_front_is_imported() -> None:
    code = "import sys, martenrun.cli.processes, martenrun.node.process; print(*sys.modules)"
    done = subprocess.run([sys.executable, "-c", code], capture_output=True, check=True)
    imported = set(done.stdout.decode().split())
    assert imported.isdisjoint(["waitress", "werkzeug", "prometheus_client", "martenrun.admin"])


def test_feeds_of_a_node_start_once_its_http_front_is_imported() -> None:
    """Both import waitress; two threads that import it at once may find each other's locks."""
    code = (
        "import sys; from martenrun.node.feeds import EngineFeeds;"
        "from martenrun.node.process import NodeProcess; from martenrun.settings.load import "
        "read_settings; from martenrun.settings.model import NodeSettings;"
        "EngineFeeds.start = lambda self: print('martenrun.node.front' in sys.modules);"
        "address = iter(sys.argv[1:]); node = NodeProcess(read_settings(NodeSettings, None, dict("
        "name='n', zone='z', cluster_secret='0123456789abcdef', http_address=next(address),"
        "peer_address=next(address), object_api=next(address), machine_list=next(address))));"
        "node.start(); node.stop()"
    )
    command = [sys.executable, "-c", code, *(free_address() for _ in range(4))]
    done = subprocess.run(command, capture_output=True, check=True, timeout=30)
    assert done.stdout.decode().split() == ["True"]


def test_a_node_whose_http_address_is_taken_says_so_and_ends() -> None:
    with socket.create_server(("127.0.0.1", 0)) as taken:
        address = f"127.0.0.1:{taken.getsockname()[1]}"
        command = [sys.executable, "-m", "martenrun.cli", "node", "--name", "n", "--zone", "z"]
        flags = {"cluster-secret": "0123456789abcdef", "http-address": address}
        flags |= {name: free_address() for name in ("peer-address", "object-api", "machine-list")}
        given = [part for name, value in flags.items() for part in (f"--{name}", value)]
        done = subprocess.run([*command, *given], capture_output=True, timeout=30)
    assert done.returncode == 2
    assert f"cannot listen on {address}" in done.stderr.decode()
    assert "remedy: give http_address" in done.stderr.decode()


NODE = "node --name n --zone z --http-address {free} --peer-address {taken} --object-api {free}"


@pytest.mark.parametrize(
    ("command", "setting"),
    [
        ("agent --name a --zone z --http-address {taken}", "http_address"),
        (NODE + " --machine-list {free}", "peer_address"),
        ("standin objects --address {taken}", "--address"),
    ],
    ids=["agent", "node", "standin"],
)
def test_a_process_whose_address_is_taken_says_so_and_ends(command: str, setting: str) -> None:
    with socket.create_server(("127.0.0.1", 0)) as server:
        taken = f"127.0.0.1:{server.getsockname()[1]}"
        arguments = command.format(taken=taken, free=free_address()).split()
        done = subprocess.run(
            [sys.executable, "-m", "martenrun.cli", *arguments],
            capture_output=True,
            timeout=30,
            env={**os.environ, "MARTENRUN_CLUSTER_SECRET": "0123456789abcdef"},
        )
    assert done.returncode == 2
    assert f"fault: cannot listen on {taken}" in done.stderr.decode()
    assert f"remedy: give {setting}" in done.stderr.decode()


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
