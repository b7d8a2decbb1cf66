"""``python -m examples.tier``: runs a small serving tier on loopback and sends a stream and a batch job.

Starts three keepers, three stores and two proxies as real processes in a temporary directory, two toy brokers
and a fake of the platform's instance listing. It then puts a configuration with the tier's command line,
prints the results of both requests and shuts everything down gracefully. It exits with 0 only if the results
are correct. With ``--stay`` the tier keeps running until interrupted, and commands for inspecting it are
printed.
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

EVENTS = 8  # events of a stream and of a batch item
ITEMS = 6
RUN_TIMEOUT_S = 60.0
EXIT_INTERRUPTED = 130
EXPECTED = [tier_client.StreamEvent(number, f"word {number}") for number in range(1, EVENTS + 1)]
EXPECTED_TEXT = "\n".join(event.data for event in EXPECTED)


async def show_stream(proxy: Daemon) -> None:
    """Send a streaming request through ``proxy`` and print its events; raises ``TierError`` on failure."""
    async with tier_client.open_stream(proxy.frontend) as answer:
        if answer.status != 200 or not answer.signed:
            raise TierError(f"stream: status {answer.status}, signed by a broker: {answer.signed}")
        events = await answer.rest()
    words = ", ".join(event.data for event in events)
    print(f"stream through {proxy.name}: 200, {len(events)} events: {words}")
    if events != EXPECTED:
        raise TierError("stream: events differ from those that the broker sent")


async def show_batch_job(proxy: Daemon, other: Daemon) -> None:
    """Submit a batch job at ``proxy`` and read its results at ``other``; raises ``TierError`` on failure."""
    job_id = tier_client.new_id()
    item_ids = [tier_client.new_id() for _ in range(ITEMS)]
    await tier_client.submit(proxy.frontend, job_id, item_ids)
    results = await tier_client.results(other.frontend, job_id)
    completed = [
        each for each in results if each["state"] == "completed" and each["message"] == EXPECTED_TEXT
    ]
    print(f"batch job {job_id} taken by {proxy.name}, read at {other.name}: "
          f"{len(completed)} of {ITEMS} items completed")  # fmt: skip
    if len(completed) != ITEMS or sorted(each["instanceId"] for each in results) != sorted(item_ids):
        raise TierError(f"batch job: wrong results: {results}")
    await tier_client.end(other.frontend, job_id)


async def show(tier: SmallTier) -> None:
    """Configure the tier, wait until it is ready, and show the stream and the batch job."""
    print(f"configuration: {await tier.put_configuration()}")
    await tier.ready()
    first, second = tier.proxies
    print(f"ready: {first.name} at {first.frontend}, {second.name} at {second.frontend}")
    await show_stream(first)
    await show_batch_job(first, second)


def print_commands(tier: SmallTier) -> None:
    """Print commands for inspecting the tier while it runs."""
    keeper = tier.keepers[0]
    command = f"{sys.executable} -m cherrycove.tier"
    print(f"  {command} status --keeper {keeper.internal}")
    print(f"  {command} config get --keeper {keeper.control_plane}")
    headers = f"-H 'Host: {tier_client.HOST}' -H 'Request-Id: 1'"
    print(f"  curl -i {tier.proxies[0].frontend}/chat/1 {headers} -d prompt")
    print("Ctrl-C ends it.")


async def run(directory: Path, stay: bool) -> int:
    started_at = time.monotonic()
    brokers = [ToyBroker(instance_id=f"broker-{number}", script=stream(EVENTS)) for number in (1, 2)]
    async with SmallTier(directory, brokers) as tier:
        print(f"started: {', '.join(daemon.name for daemon in tier.daemons)}; "
              f"2 toy brokers; settings and logs in {directory}")  # fmt: skip
        try:
            async with asyncio.timeout(RUN_TIMEOUT_S):
                await show(tier)
        except (TierError, TimeoutError) as error:
            print(tier.logs(), file=sys.stderr)
            print(f"failed: {error or 'it took too long'}", file=sys.stderr)
            return 1
        if stay:
            print_commands(tier)
            await wait_for_interrupt()
        codes = await tier.stop()
    print(f"ended: {', '.join(codes)}; {time.monotonic() - started_at:.1f} s in all")
    failed = {name: code for name, code in codes.items() if code}
    if failed:
        print(f"failed: exit codes {failed}", file=sys.stderr)
    return 1 if failed else 0


async def wait_for_interrupt() -> None:
    """Wait for SIGINT or SIGTERM."""
    loop = asyncio.get_running_loop()
    is_interrupted = asyncio.Event()
    for number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(number, is_interrupted.set)
    await is_interrupted.wait()


def main() -> int:
    description = "A small serving tier on loopback."
    parser = argparse.ArgumentParser(prog="python -m examples.tier", description=description)
    parser.add_argument("--stay", action="store_true", help="keep it running until interrupted")
    arguments = parser.parse_args()
    sys.stdout.reconfigure(line_buffering=True)  # type: ignore[union-attr]
    signal.signal(signal.SIGTERM, signal.default_int_handler)  # so that daemons are stopped on SIGTERM, too
    with tempfile.TemporaryDirectory(prefix="cherrycove-tier-") as directory:
        try:
            return asyncio.run(run(Path(directory), arguments.stay))
        except KeyboardInterrupt:
            return EXIT_INTERRUPTED


if __name__ == "__main__":
    sys.exit(main())
