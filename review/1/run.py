"""Case 1: a second, late copy of a refusal passes for the answer to the same request's next send.

Both runners of an application service are full for moments, as waves of requests arrive through
one router.  A request that comes through another router meanwhile is refused by both and, a little
later, sent again on the same connection.  With TROUBLE=1 one of the two runners answers some
requests twice; the second copy comes late, at the place where the next answer is due.
"""

import asyncio
import os
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from standins.deployment import LIMIT_S, CannotRunError, Deployment, Record, RouterRun  # noqa: E402

HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
OBJECTIVE_MS = int(os.environ.get("OBJECTIVE_MS", "1000"))
DEADLINE_MS = 4_000
FAULTY_S = 5.0
QUIET_S = 2.0
WINDOWS = 4
ROUND_S = 0.5
SLOTS, QUEUE = 6, 4
WAVE = 2 * (SLOTS + QUEUE)
COPIED_SHARE = 0.03


def configuration() -> dict:
    """Return the operator's configuration: one route whose requests may run once at most."""
    route = {
        "name": "tally",
        "hostname": "api.example",
        "path_prefix": "/tally/",
        "kind": "unsafe",
        "timeout_ms": DEADLINE_MS,
        "target_latency_ms": OBJECTIVE_MS,
        "priority": 1,
        "service": "ledger",
        "max_attempts": 1,
        "no_auth": False,
        "sticky": False,
        "resumable": False,
    }
    service = {"name": "ledger", "health_path": "/healthz", "max_connections": 100}
    tenant = {"name": "growers", "api_keys": ["key-1"], "priority": 1, "isolated": False}
    return {"version": 1, "routes": [route], "services": [service], "tenants": [tenant]}


async def play(record: Record) -> None:
    """Play the case: some spans of trouble with rests between them."""
    async with Deployment(2, record) as deployment:
        await deployment.store.put("config", "main", configuration())
        shared = {"service": "ledger", "slots": SLOTS, "queue": QUEUE, "work_ms": 120}
        faulty = await deployment.start_runner(
            instance="i-ledger-1", zone="z1", copied_share=COPIED_SHARE, **shared
        )
        await deployment.start_runner(instance="i-ledger-2", zone="z2", **shared)
        await deployment.start_routers()
        rounds = 0
        for _ in range(WINDOWS):
            await faulty.tell(f"faulty {int(HAS_TROUBLE)}")
            record.add("i-ledger-1", "trouble begins" if HAS_TROUBLE else "no trouble")
            ends_at = asyncio.get_running_loop().time() + FAULTY_S
            while asyncio.get_running_loop().time() + ROUND_S < ends_at:
                await play_round(deployment, rounds)
                rounds += 1
            await faulty.tell("faulty 0")
            await asyncio.sleep(QUIET_S)


async def play_round(deployment: Deployment, number: int) -> None:
    """Fill both runners through one router; ask once through the other one meanwhile."""
    first, second = deployment.routers

    async def ask(router: RouterRun, name: str) -> None:
        await deployment.ask(router, "POST", "/tally/a", name, DEADLINE_MS, b"tally")

    names = [f"wave-{number}-{item}" for item in range(WAVE)]
    wave = asyncio.gather(*(ask(first, name) for name in names))
    await asyncio.sleep(0.03)
    await ask(second, f"single-{number}")
    await wave
    await asyncio.sleep(ROUND_S / 4)


def verdict(record: Record) -> tuple[int, list[str]]:
    """Judge TWICE and REFUSED: one run at most, and none where 408, 421, 429 or 503 was told."""
    runs: dict[str, int] = {}
    for line in record.steps("runs"):
        runs[line["id"]] = runs.get(line["id"], 0) + 1
    answers = {line["id"]: line["status"] for line in record.steps("gets")}
    twice = [f"TWICE {name}: {count} runs" for name, count in runs.items() if count > 1]
    refused = [
        f"REFUSED {name}: {status}, yet it ran"
        for name, status in answers.items()
        if status in (408, 421, 429, 503) and name in runs
    ]
    if sum(status == 200 for status in answers.values()) < len(answers) / 2:
        return 2, ["less than half was served"]
    return (1 if twice or refused else 0), twice + refused


def main() -> int:
    """Play and judge the case; return the exit status."""
    record = Record()
    try:
        asyncio.run(asyncio.wait_for(play(record), LIMIT_S))
        status, faults = verdict(record)
    except (CannotRunError, OSError, asyncio.CancelledError) as exc:
        status, faults = 2, [f"cannot run: {exc!r}"]
    copies, answers = len(record.steps("copy")), len(record.steps("gets"))
    text = "\n".join([f"copies {copies}, answers {answers}", *faults, f"exit {status}"])
    record.write(HERE / "record.txt", text)
    print(text)
    return status


if __name__ == "__main__":
    sys.exit(main())
