"""Starts one broker: reads the configuration, wires fronts, core and backs together, and ends in good order.

It owns the life of the process: its signals, its tasks, its exit status. It must never hold logic of a wire
or of a request, and never exit while something it has taken is unanswered.
"""

from __future__ import annotations

import asyncio
import gc
import logging
import os
import signal
import sys
from pathlib import Path

from cherrycove import config, http1, nbd
from cherrycove.core import Core

log = logging.getLogger("cherrycove")

OPERATOR = "deploy/operator.toml"
LINGER = 0.8  # s without a request after SIGTERM until no more are taken: clients may learn of it late


async def run(platform: config.Platform, operator: config.Operator) -> None:
    loop = asyncio.get_running_loop()
    stop = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    core = Core(platform.settings, platform.seed)
    if platform.known is not None:
        core.update(platform.known, restored=True)
    pool = http1.Pool(platform.dial_timeout, platform.conn_idle, most=platform.sockets // 3)
    front = http1.Front(core, pool, most_connections=platform.sockets // 2)
    await front.listen(*platform.listen)
    blocks = nbd_pool = None
    if operator.nbd is not None:
        nbd_pool = nbd.Pool(operator.nbd, platform.dial_timeout, most=platform.sockets // 16)
        blocks = nbd.Front(core, nbd_pool, operator.nbd)
        log.info("NBD on port %d: %s", await blocks.listen(), ", ".join(operator.nbd.exports) or "no exports")
    watch = asyncio.create_task(http1.watch(core, platform.discovery, platform.zones))
    watch.add_done_callback(lambda task: stop.set())  # it ends only by a fault; the broker then ends in order
    gc.collect()
    gc.freeze()
    log.info("%s serves on %s:%d", platform.name, *platform.listen)
    await stop.wait()
    log.info("draining: %d requests open", core.open_requests)
    front.drain()
    if blocks is not None:
        blocks.drain()
    # Guard: clients go on coming for a while after SIGTERM; a listener closed at once would turn them away.
    while (left := front.last_request + LINGER - loop.time()) > 0:
        await asyncio.sleep(left)
    if blocks is not None and nbd_pool is not None:
        await blocks.close()
        nbd_pool.close()
    await front.close()
    watch.cancel()
    await pool.close()
    log.info("ended: %s", dict(core.counts))


def main() -> int:
    logging.basicConfig(level=logging.INFO, stream=sys.stderr, format="%(levelname)s %(name)s: %(message)s")
    try:
        platform = config.platform()
        operator = config.operator(Path(os.environ.get("CHERRYCOVE_OPERATOR", OPERATOR)), platform.settings)
    except config.ConfigError as error:
        print(f"cherrycove: {error}", file=sys.stderr)
        return 2
    asyncio.run(run(platform, operator))
    return 0


if __name__ == "__main__":
    sys.exit(main())
