"""One router process of a deployment on loopback: its settings, ports and command."""

import contextlib
import json
import shlex
import socket
import subprocess
import tomllib
from collections.abc import Mapping
from pathlib import Path

import attrs
from faulty_relay import FaultyRelay
from link_files import DATAGRAMS_SUFFIX, LINKS_SUFFIX

ROOT = Path(__file__).resolve().parent.parent
ROUTER = ROOT / "deploy" / "router.py"

SETTINGS = """
node_name = "{name}"
zone = "z1"
ip = "{ip}"
internal_ports = [{internal}, {internal}]
bootstrap = true
seeds = {seeds}
[listen_addrs]
front = "{ip}:{front}"
ready = "{ip}:{ready}"
directory = "{ip}:{directory}"
[limits]
max_fds = {max_fds}
memory_mb = {memory_mb}
[bounds]
drain_ms = 2000
grace_s = 8
config_apply_ms = 2000
revoke_strict = true
revoke_ms = 5000
budget_ratio = 0.2
budget_window_s = 10
budget_slack = 54
quota_window_s = 8
quota_over = 0.1
quota_slack = 4000
lease_ms = 3000
version_ms = 8000
[platform]
address = "{store}"
"""


@attrs.define
class RouterRun:
    """One router process and its addresses.

    Attributes:
        store: relays its calls to the store, if any.
        links: relays its connections to each runner, by the runner's listed address.
        router_links: relays its connections to the store and other routers, by their addresses.
    """

    name: str
    ip: str
    ports: dict[str, int]
    settings: Path
    log: Path
    store: FaultyRelay | None = None
    links: dict[str, FaultyRelay] = attrs.field(factory=dict)
    router_links: dict[str, FaultyRelay] = attrs.field(factory=dict)
    process: subprocess.Popen[bytes] | None = None
    program: Path | None = None

    def describe(self) -> str:
        """Return whether the process runs and its last log line."""
        status = None if self.process is None else self.process.poll()
        lines = self.log.read_text().splitlines() if self.log.exists() else []
        return f"{self.name}: exit status {status}, last log line {lines[-1:]}"

    def write_links(self) -> None:
        """Let the process, if its program follows links, connect through its relays."""
        relays = {**self.links, **self.router_links}
        links = {address: relay.address for address, relay in relays.items()}
        self._write(LINKS_SUFFIX, links)

    def write_datagram_faults(self, delays_s: Mapping[str, float | None]) -> None:
        """Let the process, if its program follows links, send datagrams late or not at all.

        Args:
            delays_s: delay of datagrams to each IP in seconds, None if they are lost.
        """
        self._write(DATAGRAMS_SUFFIX, dict(delays_s))

    def _write(self, suffix: str, content: object) -> None:
        written = self.settings.with_suffix(".new")
        written.write_text(json.dumps(content))
        written.replace(self.settings.with_suffix(suffix))

    @property
    def front(self) -> str:
        """Return the address that callers use."""
        return f"{self.ip}:{self.ports['front']}"

    @property
    def internal(self) -> str:
        """Return the address that other routers use."""
        return f"{self.ip}:{self.ports['internal']}"

    def url(self, port: str, path: str) -> str:
        """Return an address of the router."""
        return f"http://{self.ip}:{self.ports[port]}{path}"


def free_ports(ip: str, count: int, taken: int | None = None) -> list[int]:
    """Return ports that are free now, other than ``taken``; all are held while they are drawn."""
    with contextlib.ExitStack() as stack:
        sockets = [stack.enter_context(socket.socket()) for _ in range(count + 1)]
        for sock in sockets:
            sock.bind((ip, 0))
        ports = [sock.getsockname()[1] for sock in sockets]
    return [port for port in ports if port != taken][:count]


def router_command(program: Path = ROUTER) -> list[str]:
    """Return the deployment's command that runs a router, with another program in its place.

    Raises:
        FileNotFoundError: the interpreter's program has not been built.
    """
    roles = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())["roles"]
    interpreter, *arguments = shlex.split(roles["router"]["run"])
    if not (ROOT / interpreter).exists():
        raise FileNotFoundError(f"{interpreter} is missing: make {interpreter}")
    assert arguments[-1] == str(ROUTER.relative_to(ROOT))
    return [str(ROOT / interpreter), *arguments[:-1], str(program)]
