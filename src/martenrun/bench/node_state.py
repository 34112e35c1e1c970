"""Measures the memory that a node's decision logic takes for the machines it knows.

See also: docs/CAPACITY.md.
"""

import gc
import random
import resource
import tracemalloc
from pathlib import Path

import click
import msgspec

from martenrun.backends.machine_list import Machine, decoded_machines
from martenrun.bench.scale.cluster import SECRET, UNUSED_ADDRESS
from martenrun.bench.scale.platform import make_runners, region_name, zone_name
from martenrun.cli.libraries import give_back_large_blocks
from martenrun.constants import BLOCK_HASH_BYTES
from martenrun.events import Event, MachinesListed, PeerMessage, Tick
from martenrun.identity.chain import as_array
from martenrun.node.parts import NodeParts, node_parts
from martenrun.routing.beliefs import BeliefBook
from martenrun.settings.model import NodeSettings
from martenrun.wire.messages import MemberClaim, MemberList

SETTLING_TICKS = 40
TICK_S = 0.1
LIST_CHANGES = 10
POOLS = 13
POOL_RUNNERS = 64
SENT_CHAINS = 20_000
CHAIN_BYTES = 10 * BLOCK_HASH_BYTES
"""Hashes of a prompt of 40,000 bytes."""


class NodeStateResult(msgspec.Struct, frozen=True):
    """Memory of one node's beliefs, in bytes.

    Attributes:
        bytes_per_member: for each other node.
        bytes_per_runner: for each runner on the machine list, with the list itself and the
            slots of the runners that the node owns.
        resident_bytes_per_runner: what the process grows by for each runner as the list arrives and
            changes, with memory that was freed and is not given back.
        routed_bytes: of what is believed of chains sent, when as much is kept as may be.
    """

    nodes: int
    runners: int
    own_runners: int
    bytes_per_member: float
    bytes_per_runner: float
    resident_bytes_per_runner: float
    routed_bytes: int


def run(nodes: int, runners: int) -> NodeStateResult:
    """Let one node learn of members, then of runners."""
    resident_bytes = _resident_growth(nodes, runners)
    parts = _node()
    now = _tick(parts, 0.0)
    tracemalloc.start()
    begin_bytes = _allocated_bytes()
    now = _tell_members(parts, nodes, now)
    members_bytes = _allocated_bytes()
    _tell(parts, MachinesListed(list_of_machines(runners)), now)
    now = _tick(parts, now)
    runners_bytes = _allocated_bytes()
    tracemalloc.stop()
    return NodeStateResult(
        nodes,
        runners,
        len(parts.ownership.owner.owned),
        round((members_bytes - begin_bytes) / max(1, nodes - 1), 1),
        round((runners_bytes - members_bytes) / runners, 1),
        round(resident_bytes / runners, 1),
        _routed_bytes(),
    )


def _resident_growth(nodes: int, runners: int) -> int:
    """Return what this process grows by as a node reads a list that changes some times."""
    parts = _node()
    now = _tell_members(parts, nodes, _tick(parts, 0.0))
    data = _encoded_list(runners)
    known: list[Machine] = []
    begin_bytes = _resident_bytes()
    for change in range(LIST_CHANGES):
        changed = data.replace(b'"live"', b'"left"', change)
        known = decoded_machines(changed, {machine.name: machine for machine in known})
        del changed
        _tell(parts, MachinesListed(known), now)
        now = _tick(parts, now)
    return _resident_bytes() - begin_bytes


def _encoded_list(runners: int) -> bytes:
    """Return a list as the platform sends it, made so that it leaves no freed memory behind."""
    data = bytearray(b"[")
    for index in range(runners):
        address = f"10.1{index // 250:02}.0.{index % 250}:8000"
        pool = f"pool-{index % POOLS}"
        data += msgspec.json.encode(
            Machine(f"runner-{index}", "engine", address, zone_name(index), pool)
        )
        data += b","
    data[-1:] = b"]"
    return bytes(data)


def _tell_members(parts: NodeParts, nodes: int, now: float) -> float:
    claims = [
        MemberClaim(node_address(index), zone_name(index), region_name(index), 0, 0)
        for index in range(1, nodes)
    ]
    _tell(parts, PeerMessage(node_address(1), MemberList(False, claims)), now)
    return _tick(parts, now)


def _resident_bytes() -> int:
    pages = Path("/proc/self/statm").read_text(encoding="ascii").split()[1]
    return int(pages) * resource.getpagesize()


def _routed_bytes() -> int:
    """Send chains to runners whose events are read and to others until the oldest are forgotten."""
    rng = random.Random(1)
    book = BeliefBook()
    for index in range(POOL_RUNNERS):
        book.identify(f"runner-{index}", "run", "v1")
    # The index of blocks is a line of its own: it is there before the chains.
    book.feed("runner-0", as_array(rng.randbytes(CHAIN_BYTES)), as_array(b""))
    tracemalloc.start()
    begin_bytes = _allocated_bytes()
    for number in range(SENT_CHAINS):
        runner = f"runner-{0 if number % 2 else 1 + number % (POOL_RUNNERS - 1)}"
        book.routed(runner, rng.randbytes(CHAIN_BYTES), 0, float(number))
    routed_bytes = _allocated_bytes() - begin_bytes
    tracemalloc.stop()
    return routed_bytes


def _node() -> NodeParts:
    settings = NodeSettings(
        name="node-0",
        zone=zone_name(0),
        region=region_name(0),
        cluster_secret=SECRET,
        http_address=UNUSED_ADDRESS,
        seed_nodes=[node_address(1)],
        peer_address=node_address(0),
        object_api=UNUSED_ADDRESS,
        machine_list=UNUSED_ADDRESS,
    )
    return node_parts(settings, "state", random.Random(1))


def node_address(index: int) -> str:
    """Return the internal address of the node of an index."""
    return f"10.0.{index // 250}.{index % 250}:7000"


def list_of_machines(runners: int, nodes: int = 0) -> list[Machine]:
    """Return a list as it comes from the network: no text is that of another list."""
    machines = [runner.machine for runner in make_runners(runners).values()]
    for index in range(nodes):
        machines.append(Machine(f"node-{index}", "node", node_address(index), zone_name(index)))
    return decoded_machines(msgspec.json.encode(machines), {})


def _tell(parts: NodeParts, event: Event, now: float) -> None:
    for part in parts.in_order():
        part.handle(event, now)


def _tick(parts: NodeParts, now: float) -> float:
    for _ in range(SETTLING_TICKS):
        now += TICK_S
        _tell(parts, Tick(), now)
    return now


def _allocated_bytes() -> int:
    gc.collect()
    current, _peak = tracemalloc.get_traced_memory()
    return current


@click.command("node-state")
@click.option("--nodes", default=370, show_default=True, type=click.IntRange(2, 10_000))
@click.option("--runners", default=12_000, show_default=True, type=click.IntRange(1, 100_000))
@click.option("--json", "as_json", is_flag=True, help="Print one JSON line.")
def node_state(nodes: int, runners: int, as_json: bool) -> None:
    """Measure the memory a node takes for members and runners."""
    give_back_large_blocks()
    encoded = msgspec.json.encode(run(nodes, runners))
    click.echo((encoded if as_json else msgspec.json.format(encoded)).decode())
