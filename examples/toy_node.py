"""A toy world to try the broker in: discovery, two disk nodes for HTTP/1.1, and the same two for NBD.

    python examples/toy_node.py [--delay-ms N] [--drain toy-1]

It listens on loopback as examples/config.json and examples/operator.toml say, keeps what is written in memory
and prints each request that comes. It is a toy: it knows no load, no queue and no failure but a delay.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import json
import struct
import sys
from pathlib import Path

from aiohttp import web

sys.path.insert(0, str(Path(__file__).parent.parent))
from cherrycove.broker import nbd  # noqa: E402  (its codec serves both sides)

CONFIG = json.loads((Path(__file__).parent / "config.json").read_text())
DISK = 1 << 20  # bytes of each NBD export


class ToyNode:
    def __init__(self, name: str, delay: float) -> None:
        self.name, self.delay = name, delay
        self.objects: dict[str, bytes] = {}
        self.disk = bytearray(DISK)
        self.open = 0

    async def http(self, request: web.BaseRequest) -> web.Response:
        self.open += 1
        await asyncio.sleep(self.delay)
        print(
            f"{self.name}: {request.method} {request.raw_path} id={request.headers.get('X-Request-Id')} "
            f"wait={request.headers.get('X-Deadline-Ms')} ms",
            flush=True,
        )
        if request.method == "PUT":
            self.objects[request.path.partition("/")[2]] = await request.read()
        path = request.path.split("/", 2)[-1]
        kept = [data for key, data in self.objects.items() if key.endswith(path)]
        body = b"kept\n" if request.method == "PUT" else (kept or [f"{self.name} has nothing\n".encode()])[-1]
        self.open -= 1
        return web.Response(body=body, headers={"X-Load": json.dumps({"inflight": self.open})})

    async def block(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            writer.write(nbd.pack_greeting())
            await reader.readexactly(4)
            while True:
                number, _ = await nbd.read_option(reader)
                if number == nbd.Option.GO:
                    flags = (
                        nbd.TransmissionFlag.HAS_FLAGS
                        | nbd.TransmissionFlag.SEND_FLUSH
                        | nbd.TransmissionFlag.SEND_TRIM
                        | nbd.TransmissionFlag.CAN_MULTI_CONN
                    )
                    info = struct.pack(">HQH", nbd.InfoType.EXPORT, DISK, flags)
                    writer.write(
                        nbd.pack_option_reply(number, nbd.OptionReplyType.INFO, info)
                        + nbd.pack_option_reply(number, nbd.OptionReplyType.ACK)
                    )
                    break
                known = number == nbd.Option.STRUCTURED_REPLY
                writer.write(
                    nbd.pack_option_reply(
                        number, nbd.OptionReplyType.ACK if known else nbd.OptionReplyType.ERR_UNSUP
                    )
                )
            while True:
                call = await nbd.read_command_request(reader)
                payload = await reader.readexactly(call.length if call.command == nbd.Command.WRITE else 0)
                await asyncio.sleep(self.delay)
                name = nbd.Command(call.command).name
                print(f"{self.name}: NBD {name} {call.offset}+{call.length}", flush=True)
                end = call.offset + call.length
                if call.command == nbd.Command.READ:
                    data = bytes(self.disk[call.offset : end])
                    writer.write(nbd.make_data_chunk(call.cookie, call.offset, data).pack())
                    continue
                if call.command == nbd.Command.WRITE:
                    self.disk[call.offset : end] = payload
                writer.write(nbd.pack_simple_reply(call.cookie))
        except (EOFError, OSError, ValueError, nbd.ProtocolError):
            pass
        finally:
            writer.close()


class Discovery:
    def __init__(self, draining: list[str]) -> None:
        self.list = CONFIG["known"] | {"index": 2 if draining else 1}
        for entry in self.list["endpoints"]:
            entry["status"] = "draining" if entry["name"] in draining else "up"

    async def http(self, request: web.BaseRequest) -> web.Response:
        query = request.rel_url.query
        if query.get("since") == str(self.list["index"]):
            await asyncio.sleep(min(int(query.get("timeout_ms", "0")), 60_000) / 1000)
            return web.json_response(self.list | {"snapshot": False, "endpoints": []})
        return web.json_response(self.list)


async def main() -> None:
    parser = argparse.ArgumentParser(description=(__doc__ or "").split("\n")[0])
    parser.add_argument("--delay-ms", type=float, default=10.0, help="time that each request takes")
    parser.add_argument(
        "--drain", action="append", default=[], metavar="NODE", help="list this node as draining"
    )
    options = parser.parse_args()

    async def serve(handler: object, address: str) -> None:
        host, _, port = address.rpartition(":")
        runner = web.ServerRunner(web.Server(handler))  # type: ignore[arg-type]
        await runner.setup()
        await web.TCPSite(runner, host, int(port)).start()

    await serve(Discovery(options.drain).http, CONFIG["discovery"])
    for place, entry in enumerate(CONFIG["known"]["endpoints"]):
        node = ToyNode(entry["name"], options.delay_ms / 1000)
        await serve(node.http, entry["address"])
        await asyncio.start_server(node.block, "127.0.0.1", 10810 + place)
        print(f"{node.name}: HTTP on {entry['address']}, NBD on 127.0.0.1:{10810 + place}")
    print(f"discovery on {CONFIG['discovery']}", flush=True)
    await asyncio.Event().wait()


if __name__ == "__main__":
    with contextlib.suppress(KeyboardInterrupt):
        asyncio.run(main())
