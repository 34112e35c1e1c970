"""Commands for trying a deployment by hand: waiting for edges, one request, a key's digest.

Exit status of ``ask``: 0 for a whole answer, 1 for a refusal or a broken one.
"""

import hashlib
import secrets
import time

import click
import urllib3

from martenrun.load.client import CompletionCall, CompletionClient

WAIT_INTERVAL_S = 0.1
"""Time between two looks at an edge, in seconds."""

_LOOK_TIMEOUT_S = 2.0


@click.command()
@click.argument("edges", nargs=-1, required=True)
@click.option("--running", is_flag=True, help="Do not wait for a configuration.")
@click.option("--timeout-s", default=30.0, show_default=True, help="Longest wait for all edges.")
def wait(edges: tuple[str, ...], running: bool, timeout_s: float) -> None:
    """Wait until EDGES (IP:port of HTTP) are ready: with a configuration, taking requests."""
    path = "/healthz" if running else "/readyz"
    until = time.monotonic() + timeout_s
    for edge in edges:
        while not _answers(edge, path):
            if time.monotonic() > until:
                raise click.ClickException(
                    f"{edge}{path} does not answer with 200 after {timeout_s:g} s; "
                    "look at its log, and at `martenrun admin status` on another node"
                )
            time.sleep(WAIT_INTERVAL_S)
        click.echo(f"{edge} is {'running' if running else 'ready'}")


def _answers(edge: str, path: str) -> bool:
    try:
        url = f"http://{edge}{path}"
        response = urllib3.request("GET", url, retries=False, timeout=_LOOK_TIMEOUT_S)
    except urllib3.exceptions.HTTPError:
        return False
    return response.status == 200


@click.command()
@click.argument("prompt")
@click.option("--edge", required=True, envvar="MARTENRUN_EDGE", help="IP:port of an agent or node.")
@click.option("--key", required=True, envvar="MARTENRUN_KEY", help="A caller's key.")
@click.option("--model", required=True)
@click.option("--output-tokens", default=16, show_default=True)
@click.option("--repeatable/--not-repeatable", default=True, help="Whether it may run twice.")
@click.option("--idempotency-key", default="", help="Runs at most once, if it is not repeatable.")
def ask(
    prompt: str,
    edge: str,
    key: str,
    model: str,
    output_tokens: int,
    repeatable: bool,
    idempotency_key: str,
) -> None:
    """Send one completion to an edge, print the answer and what it cost."""
    request_id = f"ask-{secrets.token_hex(4)}"
    call = CompletionCall(request_id, model, prompt, output_tokens, repeatable, idempotency_key)
    record = CompletionClient(edge, key).stream(call)
    if not record.whole:
        raise click.ClickException(record.error or "the stream ended before its terminator")
    click.echo(record.text)
    click.echo(
        f"{record.cached_tokens} of {record.prompt_tokens} prompt tokens were cached, "
        f"first token after {record.first_token_s * 1000:.0f} ms",
        err=True,
    )


@click.command("hash-key")
@click.argument("key")
def hash_key(key: str) -> None:
    """Print the digest of a key, for the setting ``bootstrap_key_sha256``."""
    click.echo(hashlib.sha256(key.encode()).hexdigest())
