"""``python -m examples.tier``: a small serving tier on loopback, one stream and one batch job through it.

Starts three keepers, three stores and two proxies as real processes in a temporary directory, two toy brokers
and a stand-in of the platform's list, puts a configuration by the tier's command line, shows what came back,
and ends all in order. Exits with 0 only if the stream and the batch job came back right. With ``--stay`` the
tier runs on until interrupted, and the commands to look at it are printed.
"""

from __future__ import annotations

import argparse
import asyncio
import signal
import sys
import tempfile
import time
from pathlib import Path

from examples import tier_client
from examples.small_tier import SmallTier, TierError
from examples.tier_processes import Daemon
from examples.toy_broker import ToyBroker, stream

EVENTS = 8  # of one stream, and of one item
ITEMS = 6
LONGEST_RUN_S = 60.0
EXIT_INTERRUPTED = 130
EXPECTED = [tier_client.StreamEvent(number, f"word {number}") for number in range(1, EVENTS + 1)]
EXPECTED_TEXT = "\n".join(event.data for event in EXPECTED)


async def show_stream(proxy: Daemon) -> None:
    """One streaming request through ``proxy``."""
    async with tier_client.open_stream(proxy.frontend) as answer:
        if answer.status != 200 or not answer.signed:
            raise TierError(f"stream: status {answer.status}, signed by a broker: {answer.signed}")
        events = await answer.rest()
    words = ", ".join(event.data for event in events)
    print(f"stream through {proxy.name}: 200, {len(events)} events: {words}")
    if events != EXPECTED:
        raise TierError("stream: not the broker's events")


async def show_batch_job(proxy: Daemon, other: Daemon) -> None:
    """One batch job: handed in at ``proxy``, read at ``other``."""
    job_id = tier_client.new_id()
    item_ids = [tier_client.new_id() for _ in range(ITEMS)]
    await tier_client.submit(proxy.frontend, job_id, item_ids)
    results = await tier_client.results(other.frontend, job_id)
    whole = [each for each in results if each["state"] == "completed" and each["message"] == EXPECTED_TEXT]
    print(f"batch job {job_id} taken by {proxy.name}, read at {other.name}: "
          f"{len(whole)} of {ITEMS} items completed")  # fmt: skip
    if len(whole) != ITEMS or sorted(each["instanceId"] for each in results) != sorted(item_ids):
        raise TierError(f"batch job: wrong results: {results}")
    await tier_client.end(other.frontend, job_id)


async def show(tier: SmallTier) -> None:
    """Everything that the command shows, and judges."""
    print(f"configuration: {await tier.put_configuration()}")
    await tier.ready()
    first, second = tier.proxies
    print(f"ready: {first.name} at {first.frontend}, {second.name} at {second.frontend}")
    await show_stream(first)
    await show_batch_job(first, second)


def print_commands(tier: SmallTier) -> None:
    """How to look at the tier while it stays."""
    keeper = tier.keepers[0]
    command = f"{sys.executable} -m cherrycove.tier"
    print(f"  {command} status --keeper {keeper.internal}")
    print(f"  {command} config get --keeper {keeper.control_plane}")
    headers = f"-H 'Host: {tier_client.HOST}' -H 'Request-Id: 1'"
    print(f"  curl -i {tier.proxies[0].frontend}/chat/1 {headers} -d prompt")
    print("Ctrl-C ends it.")


async def run(directory: Path, stay: bool) -> int:
    began = time.monotonic()
    brokers = [ToyBroker(instance_id=f"broker-{number}", script=stream(EVENTS)) for number in (1, 2)]
    async with SmallTier(directory, brokers) as tier:
        print(f"started: {', '.join(daemon.name for daemon in tier.daemons)}; "
              f"2 toy brokers; settings and logs in {directory}")  # fmt: skip
        try:
            async with asyncio.timeout(LONGEST_RUN_S):
                await show(tier)
        except (TierError, TimeoutError) as error:
            print(tier.logs(), file=sys.stderr)
            print(f"failed: {error or 'it took too long'}", file=sys.stderr)
            return 1
        if stay:
            print_commands(tier)
            await interrupted()
        codes = await tier.stop()
    print(f"ended: {', '.join(codes)}; {time.monotonic() - began:.1f} s in all")
    failed = {name: code for name, code in codes.items() if code}
    if failed:
        print(f"failed: exit codes {failed}", file=sys.stderr)
    return 1 if failed else 0


async def interrupted() -> None:
    """Until SIGINT or SIGTERM."""
    loop = asyncio.get_running_loop()
    asked = asyncio.Event()
    for number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(number, asked.set)
    await asked.wait()


def main() -> int:
    description = "A small serving tier on loopback."
    parser = argparse.ArgumentParser(prog="python -m examples.tier", description=description)
    parser.add_argument("--stay", action="store_true", help="keep it running until interrupted")
    arguments = parser.parse_args()
    sys.stdout.reconfigure(line_buffering=True)  # type: ignore[union-attr]
    signal.signal(signal.SIGTERM, signal.default_int_handler)  # no daemon is left behind
    with tempfile.TemporaryDirectory(prefix="cherrycove-tier-") as directory:
        try:
            return asyncio.run(run(Path(directory), arguments.stay))
        except KeyboardInterrupt:
            return EXIT_INTERRUPTED


if __name__ == "__main__":
    sys.exit(main())
