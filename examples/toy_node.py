"""A local environment for trying the broker: discovery, and two disk nodes that serve HTTP/1.1 and NBD.

    python examples/toy_node.py [--delay-ms N] [--drain toy-1]

It listens on loopback at the addresses in examples/config.json and examples/operator.toml, keeps written data
in memory and prints each request. It models neither load nor queues, and no failure except a delay.
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
from cherrycove.broker import nbd  # noqa: E402  (the codec works for both client and server)

CONFIG = json.loads((Path(__file__).parent / "config.json").read_text())
EXPORT_BYTES = 1 << 20  # per NBD export


class ToyNode:
    def __init__(self, name: str, delay: float) -> None:
        self.name, self.delay = name, delay
        self.objects: dict[str, bytes] = {}
        self.disk = bytearray(EXPORT_BYTES)
        self.in_flight = 0

    async def http(self, request: web.BaseRequest) -> web.Response:
        self.in_flight += 1
        await asyncio.sleep(self.delay)
        print(
            f"{self.name}: {request.method} {request.raw_path} id={request.headers.get('X-Request-Id')} "
            f"wait={request.headers.get('X-Deadline-Ms')} ms",
            flush=True,
        )
        if request.method == "PUT":
            self.objects[request.path.partition("/")[2]] = await request.read()
        path = request.path.split("/", 2)[-1]
        matching = [data for key, data in self.objects.items() if key.endswith(path)]
        body = (
            b"kept\n"
            if request.method == "PUT"
            else (matching or [f"{self.name} has nothing\n".encode()])[-1]
        )
        self.in_flight -= 1
        return web.Response(body=body, headers={"X-Load": json.dumps({"inflight": self.in_flight})})

    async def serve_nbd(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
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
                    info = struct.pack(">HQH", nbd.InfoType.EXPORT, EXPORT_BYTES, flags)
                    writer.write(
                        nbd.pack_option_reply(number, nbd.OptionReplyType.INFO, info)
                        + nbd.pack_option_reply(number, nbd.OptionReplyType.ACK)
                    )
                    break
                is_supported = number == nbd.Option.STRUCTURED_REPLY
                writer.write(
                    nbd.pack_option_reply(
                        number, nbd.OptionReplyType.ACK if is_supported else nbd.OptionReplyType.ERR_UNSUP
                    )
                )
            while True:
                request = await nbd.read_command_request(reader)
                payload = await reader.readexactly(
                    request.length if request.command == nbd.Command.WRITE else 0
                )
                await asyncio.sleep(self.delay)
                name = nbd.Command(request.command).name
                print(f"{self.name}: NBD {name} {request.offset}+{request.length}", flush=True)
                end = request.offset + request.length
                if request.command == nbd.Command.READ:
                    data = bytes(self.disk[request.offset : end])
                    writer.write(nbd.make_data_chunk(request.cookie, request.offset, data).pack())
                    continue
                if request.command == nbd.Command.WRITE:
                    self.disk[request.offset : end] = payload
                writer.write(nbd.pack_simple_reply(request.cookie))
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
    parser.add_argument("--delay-ms", type=float, default=10.0, help="delay of each request")
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
    for index, entry in enumerate(CONFIG["known"]["endpoints"]):
        node = ToyNode(entry["name"], options.delay_ms / 1000)
        await serve(node.http, entry["address"])
        await asyncio.start_server(node.serve_nbd, "127.0.0.1", 10810 + index)
        print(f"{node.name}: HTTP on {entry['address']}, NBD on 127.0.0.1:{10810 + index}")
    print(f"discovery on {CONFIG['discovery']}", flush=True)
    await asyncio.Event().wait()


if __name__ == "__main__":
    with contextlib.suppress(KeyboardInterrupt):
        asyncio.run(main())
