"""NBD: the codec on cuts and garbage, and whole paths between clients and nodes of our own on loopback."""

from __future__ import annotations

import asyncio
import random
import struct
from typing import Any

import pytest
from hypothesis import given
from support import PLATFORM, Node, World, corrupted, feed, fuzz, random_splits, raw, run

from cherrycove.broker import config, nbd
from cherrycove.broker.core import Ending, Member, NodeList
from cherrycove.broker.nbd import Command, CommandReply, CommandRequest, Errno, Option, ProtocolError

VOLUME = "00000003b4d60021"
NODE_FLAGS = (
    nbd.TransmissionFlag.HAS_FLAGS
    | nbd.TransmissionFlag.SEND_FLUSH
    | nbd.TransmissionFlag.SEND_TRIM
    | nbd.TransmissionFlag.CAN_MULTI_CONN
)
BLOCK = bytes(range(256)) * 4
GREETING = 18


def setup(*nodes: BlockNode, **more: Any) -> nbd.NbdConfig:
    """As the operator's file would say it; shard i is held by the i-th node."""
    table = {
        "enabled": True,
        "listen": "127.0.0.1:0",
        "classes": {
            "read": "claim-read",
            "write": "claim-write",
            "trim": "claim-write",
            "flush": "claim-write",
        },
        "nodes": {f"d{i}": f"127.0.0.1:{node.port}" for i, node in enumerate(nodes)},
        "exports": {
            "claims": {"volume": VOLUME, "shard": 0, "plan": "basic", "size": 1 << 20},
            "scans": {"volume": VOLUME, "shard": 0, "plan": "basic", "size": 1 << 20, "read_only": True},
        },
        **more,
    }
    found = config.parse_operator_config({"nbd": table}, PLATFORM.settings).nbd
    assert found is not None
    return found


class BlockNode:
    """A stand-in storage node: notes each whole command, then does what its script says."""

    def __init__(self, *script: str, flags: int = NODE_FLAGS) -> None:
        self.script, self.flags, self.disk = list(script), flags, bytearray(1 << 20)
        self.seen: list[tuple[Command, bytes]] = []
        self.arrived, self.hung_up, self.port = asyncio.Condition(), asyncio.Event(), 0

    async def start(self) -> BlockNode:
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            writer.write(nbd.pack_greeting())
            await reader.readexactly(4)
            number, _ = await nbd.read_option(reader)
            writer.write(nbd.pack_option_reply(number, nbd.OptionReplyType.ACK))
            number, _ = await nbd.read_option(reader)
            info = struct.pack(">HQH", nbd.InfoType.EXPORT, len(self.disk), self.flags)
            writer.write(
                nbd.pack_option_reply(number, nbd.OptionReplyType.INFO, info)
                + nbd.pack_option_reply(number, nbd.OptionReplyType.ACK)
            )
            while True:
                call = await nbd.read_command_request(reader)
                payload = await reader.readexactly(call.length if call.command == Command.WRITE else 0)
                async with self.arrived:
                    self.seen.append((Command(call.command), payload))
                    self.arrived.notify_all()
                if not await self._step(
                    self.script.pop(0) if self.script else "ok", call, payload, reader, writer
                ):
                    return
        except (EOFError, OSError):
            pass
        finally:
            writer.close()

    async def _step(
        self,
        step: str,
        call: CommandRequest,
        payload: bytes,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        if step == "drop":
            return False
        if step.isdigit():
            writer.write(nbd.make_error_chunk(call.cookie, int(step), "no").pack())
            return True
        end = call.offset + call.length
        if call.command == Command.WRITE:
            self.disk[call.offset : end] = payload
        if call.command != Command.READ:
            done = nbd.pack_simple_reply(call.cookie)
            writer.write(done[:7] if step == "stall" else done)
        else:
            middle, data = call.offset + call.length // 2, self.disk
            writer.write(nbd.make_data_chunk(call.cookie, middle, bytes(data[middle:end]), 0).pack())
            if step != "stall":
                writer.write(
                    nbd.make_data_chunk(call.cookie, call.offset, bytes(data[call.offset : middle])).pack()
                )
        if step == "stall":
            await reader.read(1)
            self.hung_up.set()
        return step != "stall"


class Client:
    """An NBD client that checks each reply's frame and that each command gets one final reply."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer, self.structured, self.calls = reader, writer, False, {}  # type: ignore

    @classmethod
    async def connect(cls, port: int) -> Client:
        client = cls(*await asyncio.open_connection("127.0.0.1", port))
        assert await client.reader.readexactly(GREETING) == nbd.pack_greeting()
        client.writer.write(struct.pack(">I", 3))
        return client

    async def option(self, number: int, data: bytes = b"") -> list[tuple[int, bytes]]:
        self.writer.write(nbd.pack_option(number, data))
        replies = [await nbd.read_option_reply(self.reader, number)]
        while replies[-1][0] in (nbd.OptionReplyType.INFO, nbd.OptionReplyType.SERVER):
            replies.append(await nbd.read_option_reply(self.reader, number))
        return replies

    @classmethod
    async def mounted(cls, port: int, name: str = "claims", structured: bool = True) -> Client:
        client = await cls.connect(port)
        client.structured = structured
        if structured:
            assert await client.option(Option.STRUCTURED_REPLY) == [(nbd.OptionReplyType.ACK, b"")]
        assert (await client.option(Option.GO, nbd.pack_go_data(name)))[-1][0] == nbd.OptionReplyType.ACK
        return client

    def send(
        self, command: int, offset: int = 0, length: int = 0, payload: bytes = b"", flags: int = 0
    ) -> int:
        cookie = len(self.calls) + 1
        self.calls[cookie] = call = CommandRequest(command, flags, cookie, offset, length or len(payload))
        self.writer.write(call.pack() + payload)
        return cookie

    async def reply(self, cookie: int) -> CommandReply:
        return await nbd.read_reply(self.reader, self.calls[cookie], structured=self.structured)

    async def do(
        self, command: int, offset: int = 0, length: int = 0, payload: bytes = b"", flags: int = 0
    ) -> tuple[int, bytes]:
        reply = await self.reply(self.send(command, offset, length, payload, flags))
        return reply.errno, bytes(reply.data)


def test_the_handshake_offers_what_works_and_no_more() -> None:
    async def story() -> None:
        async with World() as world:
            front, port = await world.nbd(setup())
            client = await Client.connect(port)
            assert await client.option(77, b"what") == [(nbd.OptionReplyType.ERR_UNSUP, b"")]
            assert [
                data[4:]
                for kind, data in await client.option(Option.LIST)
                if kind == nbd.OptionReplyType.SERVER
            ] == [
                b"claims",
                b"scans",
            ]
            assert (await client.option(Option.INFO, nbd.pack_go_data("none")))[0][
                0
            ] == nbd.OptionReplyType.ERR_UNKNOWN
            assert (await client.option(Option.INFO, b"\0\0\0\x09"))[0][0] == nbd.OptionReplyType.ERR_INVALID
            plain = await client.option(Option.INFO, nbd.pack_go_data("claims", [nbd.InfoType.BLOCK_SIZE]))
            assert plain[0][1] == struct.pack(
                ">HQH", 0, 1 << 20, 1 | nbd.TransmissionFlag.SEND_FLUSH | nbd.TransmissionFlag.SEND_TRIM
            )
            assert plain[1][1] == struct.pack(">HIII", 3, 512, 4096, 65536)
            await client.option(Option.STRUCTURED_REPLY)
            fixed = await client.option(Option.INFO, nbd.pack_go_data("scans"))
            assert fixed[0][1][-2:] == struct.pack(
                ">H", 1 | nbd.TransmissionFlag.READ_ONLY | nbd.TransmissionFlag.SEND_DF
            )
            assert (
                await client.option(Option.ABORT) == [(nbd.OptionReplyType.ACK, b"")]
                and not await client.reader.read()
            )
            old = await Client.connect(port)
            old.writer.write(nbd.pack_option(Option.EXPORT_NAME, b"scans"))
            assert await old.reader.readexactly(10) == struct.pack(
                ">QH", 1 << 20, 1 | nbd.TransmissionFlag.READ_ONLY
            )
            front.drain()
            late = await Client.connect(port)
            assert (await late.option(Option.GO, nbd.pack_go_data("claims")))[0][
                0
            ] == nbd.OptionReplyType.ERR_SHUTDOWN
            await front.close()

    run(story())


@pytest.mark.parametrize("structured", [True, False])
def test_commands_reach_the_node_and_come_back_whole(structured: bool) -> None:
    async def story() -> None:
        node = await BlockNode().start()
        async with World(Node()) as world:
            front, port = await world.nbd(setup(node))
            client = await Client.mounted(port, structured=structured)
            assert await client.do(Command.WRITE, 4096, payload=BLOCK) == (0, b"")
            assert await client.do(Command.READ, 4096, len(BLOCK)) == (0, BLOCK)
            assert await client.do(Command.FLUSH) == (0, b"")
            assert await client.do(Command.TRIM, 0, 1 << 20) == (0, b"")
            order = [client.send(Command.READ, 512 * i, 512) for i in range(20)]  # past the pipelining bound
            magics = [
                await nbd.read_fields(client.reader, ">I")
                and await client.reader.readexactly(12 + 512 if not structured else 16 + 8 + 512)
                for _ in order
            ]
            assert sorted(int.from_bytes(m[4:12], "big") for m in magics) == order
            client.send(Command.DISC)
            assert not await client.reader.read()
            assert world.core.counts == {"taken": 24, "served": 24} and len(node.seen) == 24
            await front.close()

    run(story())


def test_a_command_that_cannot_be_is_answered_and_never_sent() -> None:
    async def story() -> None:
        async with World(Node()) as world:
            front, port = await world.nbd(setup())
            client, reader = await Client.mounted(port), await Client.mounted(port, "scans")
            big = 1 << 20
            for errno, args in [
                (Errno.EINVAL, (Command.READ, 0, 0)),
                (Errno.EINVAL, (Command.READ, 0, 65536 + 512)),
                (Errno.EINVAL, (Command.READ, big, 512)),
                (Errno.EINVAL, (Command.READ, 3, 512)),
                (Errno.ENOSPC, (Command.WRITE, big, 0, BLOCK)),
                (Errno.EINVAL, (Command.TRIM, 0, big + 512)),
                (Errno.EINVAL, (Command.WRITE, 0, 0, BLOCK, 1)),
                (Errno.EINVAL, (9, 0, 512)),
                (Errno.EINVAL, (Command.WRITE, 0, 0, bytes(300_000))),
                (Errno.EINVAL, (Command.FLUSH, 0, 512)),
            ]:
                assert (await client.do(*args))[0] == errno, args
            assert (await reader.do(Command.WRITE, 0, 0, BLOCK))[0] == Errno.EPERM
            assert not world.core.counts
            client.writer.write(b"\0" * 28)  # no magic: nothing that follows can be trusted
            assert not await client.reader.read()
            await front.close()

    run(story())


@pytest.mark.parametrize(
    ("script", "flags", "errno", "sends"),
    [
        ("drop", NODE_FLAGS, Errno.EIO, 1),  # it may have run: never again
        ("stall", NODE_FLAGS, Errno.EIO, 1),
        ("28", NODE_FLAGS, Errno.ENOSPC, 1),  # the node's own word
        (
            "ok",
            NODE_FLAGS & ~nbd.TransmissionFlag.CAN_MULTI_CONN,
            Errno.ENOMEM,
            0,
        ),  # no flush could cover it: refused, harmless
    ],
)
def test_a_write_has_one_final_reply_and_one_run(script: str, flags: int, errno: int, sends: int) -> None:
    async def story() -> None:
        node = await BlockNode(script, flags=flags).start()
        async with World(Node(), platform=config.parse_platform_config(raw(1), {})) as world:
            front, port = await world.nbd(setup(node))
            client = await Client.mounted(port)
            reply = await client.reply(client.send(Command.WRITE, 0, payload=BLOCK))
            assert (reply.errno, len(node.seen)) == (errno, sends)
            assert ("retry after" in reply.message) == (errno == Errno.ENOMEM)
            client.send(Command.DISC)
            assert not await client.reader.read()  # and nothing came behind the final reply
            await front.close()

    run(story())


def test_a_read_cut_short_by_a_stall_ends_in_one_answer() -> None:
    async def story() -> None:
        node = await BlockNode("stall").start()
        async with World(Node(), platform=config.parse_platform_config(raw(1), {})) as world:
            front, port = await world.nbd(setup(node))
            client = await Client.mounted(port)
            assert (await client.do(Command.READ, 0, 4096))[0] == Errno.ENOMEM  # a read may be repeated
            await node.hung_up.wait()  # the connection with the rest of the reply is never used again
            client.send(Command.DISC)
            assert not await client.reader.read()
            assert world.core.endings == {Ending.TIMED_OUT: 1}
            await front.close()

    run(story())


def test_a_flush_fails_once_where_another_life_holds_the_writes() -> None:
    async def story() -> None:
        node = await BlockNode().start()
        async with World(Node()) as world:
            front, port = await world.nbd(setup(node))
            client = await Client.mounted(port)
            assert (await client.do(Command.WRITE, 0, payload=BLOCK))[0] == 0
            world.core.update(NodeList(2, True, (Member("d0", "127.0.0.1:1", 0, since_ms=1e6),)))
            assert [(await client.do(Command.FLUSH))[0] for _ in range(2)] == [Errno.EIO, 0]
            await front.close()

    run(story())


@pytest.mark.parametrize("pipeline", [1, 4])
def test_clients_that_leave_are_told_and_their_writes_run_once(pipeline: int) -> None:
    async def story() -> None:
        node = await BlockNode("stall").start()
        async with World(Node()) as world:
            front, port = await world.nbd(setup(node, pipeline=pipeline))
            client = await Client.mounted(port)
            client.send(Command.WRITE, 0, payload=BLOCK)
            async with node.arrived:
                await node.arrived.wait_for(lambda: node.seen)
            client.writer.transport.abort()
            await node.hung_up.wait()
            await world.core.idle()
            assert len(node.seen) == 1 and world.core.counts == {"taken": 1, "client gone": 1}
            await front.close()

    run(story())


def test_both_wires_through_one_core_keep_the_same_accounts() -> None:
    """Clients of both kinds, nodes that stall, drop and err: one answer each, no write twice."""

    async def story() -> None:
        dice = random.Random(7)
        steps = ["ok", "stall", "drop", "ok", "5"] + dice.choices(["ok"] * 7 + ["drop", "5"], k=60)
        blocks, files = (
            await BlockNode(*steps).start(),
            await Node(*[{"stall": "hang", "5": "500"}.get(step, step) for step in steps]).start(),
        )
        async with World(
            blocks_place := Node(), files, platform=config.parse_platform_config(raw(3), {})
        ) as world:
            assert blocks_place.port == 0  # shard 0 is reached by NBD alone
            front, port = await world.nbd(
                setup(
                    blocks,
                    exports={"claims": {"volume": VOLUME, "shard": 0, "plan": "priority", "size": 1 << 20}},
                )
            )
            verdicts: list[str] = []

            async def mount(number: int) -> None:
                client = await Client.mounted(port)
                for turn in range(5):
                    text = struct.pack(">II", number, turn) * 64
                    errno, _ = await client.do(Command.WRITE, 512 * number, payload=text)
                    verdicts.append({0: "served", Errno.ENOMEM: "refused"}.get(errno, "failed"))
                client.send(Command.WRITE, 512 * number, payload=struct.pack(">II", number, 99) * 64)
                await client.writer.drain()
                client.writer.transport.abort()  # mid-reply, or before it

            async def browse(number: int) -> None:
                for turn in range(5):
                    status, _, _ = await world.ask(
                        cls="claim-write",
                        method="PUT",
                        shard=1,
                        ms=3500,
                        Tier="priority",
                        body=b"claim",
                        id=f"{number}-{turn}",
                    )
                    verdicts.append({200: "served", 503: "refused"}.get(status, "failed"))

            await asyncio.gather(*map(mount, range(4)), *map(browse, range(4)))
            await front.close()
            await world.core.idle()
        writes = [payload for _, payload in blocks.seen] + [seen["x-request-id"] for seen in files.seen]
        assert len(writes) == len(set(writes)) and writes
        assert world.core.endings[Ending.TIMED_OUT] and world.core.endings[Ending.BROKEN]
        counts, gone = world.core.counts, world.core.counts["client gone"]
        assert len(verdicts) == 40 and 0 <= counts["taken"] - 40 <= 4
        served_unread = counts["served"] + counts["refused"] + counts["failed"] - 40  # left before the reply
        assert counts["taken"] == 40 + gone + served_unread and gone + served_unread <= 4
        assert {v: verdicts.count(v) for v in set(verdicts)}.keys() <= {"served", "refused", "failed"}
        for verdict in ("served", "refused", "failed"):
            assert 0 <= counts[verdict] - verdicts.count(verdict) <= served_unread
        never_sent = sum(
            world.core.endings[each]
            for each in Ending
            if each
            in (
                Ending.NOT_STARTED,
                Ending.CONNECT_REFUSED,
                Ending.CONNECT_TIMEOUT,
                Ending.BROKEN_UNSENT,
                Ending.EXPIRED,
            )
        )
        assert len(writes) <= sum(world.core.endings.values()) <= len(writes) + never_sent + gone

    run(story())


CALL = CommandRequest(Command.READ, 0, 5, 4096, 1024)
CHUNKS = (
    nbd.make_data_chunk(5, 4608, BLOCK[:512], 0).pack()
    + nbd.ReplyChunk(nbd.ReplyFlag.DONE, nbd.ChunkType.OFFSET_HOLE, 5, struct.pack(">QI", 4096, 512)).pack()
)


@fuzz
@given(
    random_splits(CHUNKS),
    random_splits(CALL.pack()),
    random_splits(nbd.pack_option(Option.GO, nbd.pack_go_data("claims", [0, 3]))),
)
def test_cuts_of_frames_change_nothing(chunks: list[bytes], call: list[bytes], option: list[bytes]) -> None:
    async def story() -> None:
        reply = await nbd.read_reply(feed(chunks), CALL, structured=True)
        assert bytes(reply.data) == bytes(512) + BLOCK[:512]
        assert await nbd.read_command_request(feed(call)) == CALL
        number, data = await nbd.read_option(feed(option))
        assert number == Option.GO and nbd.parse_go_data(data) == ("claims", [0, 3])

    run(story())


@fuzz
@given(corrupted(CHUNKS), corrupted(CALL.pack()), corrupted(nbd.pack_go_data("claims", [0])))
def test_garbage_is_a_protocol_error_or_a_whole_message(chunks: bytes, call: bytes, data: bytes) -> None:
    async def story() -> None:
        for task in (
            nbd.read_reply(feed([chunks]), CALL, structured=True),
            nbd.read_command_request(feed([call])),
        ):
            try:
                found = await task
            except (ProtocolError, EOFError):
                continue
            if isinstance(found, CommandReply) and not found.errno:
                assert sum(b - a for a, b in found.ranges) == len(found.data) == CALL.length
        try:
            name, wanted = nbd.parse_go_data(data)
        except ProtocolError:
            return
        assert nbd.pack_go_data(name, wanted) == data

    run(story())


@fuzz
@given(corrupted(struct.pack(">I", 3) + nbd.pack_option(Option.GO, nbd.pack_go_data("claims")) + CALL.pack()))
def test_garbage_at_the_front_leaves_it_serving(garbage: bytes) -> None:
    async def story() -> None:
        node = await BlockNode().start()
        async with World(Node()) as world:
            front, port = await world.nbd(setup(node))
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(garbage)
            writer.write_eof()
            while await reader.read(4096):
                pass
            writer.close()
            client = await Client.mounted(port)
            assert (await client.do(Command.READ, 0, 512))[0] == 0
            await front.close()

    run(story())
