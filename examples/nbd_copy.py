"""Writes one block to an NBD export, flushes, reads it back and reports whether it is unchanged.

python examples/nbd_copy.py HOST:PORT EXPORT
"""

from __future__ import annotations

import asyncio
import struct
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parent.parent))
from cherrycove.broker import nbd  # noqa: E402


async def main(address: str, export: str) -> int:
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    await reader.readexactly(18)
    writer.write(struct.pack(">I", nbd.HandshakeFlag.FIXED_NEWSTYLE | nbd.HandshakeFlag.NO_ZEROES))
    writer.write(nbd.pack_option(nbd.Option.STRUCTURED_REPLY))
    await nbd.read_option_reply(reader, nbd.Option.STRUCTURED_REPLY)
    writer.write(nbd.pack_option(nbd.Option.GO, nbd.pack_go_data(export)))
    while (reply := await nbd.read_option_reply(reader, nbd.Option.GO))[0] == nbd.OptionReplyType.INFO:
        pass
    if reply[0] != nbd.OptionReplyType.ACK:
        print(f"export {export} is not available: reply type {reply[0]:#x}")
        return 1
    block = bytes(range(256)) * 16
    steps = [
        (nbd.Command.WRITE, 0, len(block), block),
        (nbd.Command.FLUSH, 0, 0, b""),
        (nbd.Command.READ, 0, len(block), b""),
    ]
    is_unchanged = False
    for cookie, (command, offset, length, payload) in enumerate(steps, 1):
        request = nbd.CommandRequest(command, 0, cookie, offset, length)
        writer.write(request.pack() + payload)
        result = await nbd.read_reply(reader, request, structured=True)
        print(f"{command.name}: {'done' if not result.errno else f'error {result.errno}: {result.message}'}")
        is_unchanged = bytes(result.data) == block
    writer.write(nbd.CommandRequest(nbd.Command.DISC, 0, 9, 0, 0).pack())
    writer.close()
    print("the block came back unchanged" if is_unchanged else "the block did NOT come back")
    return 0 if is_unchanged else 1


if __name__ == "__main__":
    if len(sys.argv) != 3:
        sys.exit((__doc__ or "").strip())
    sys.exit(asyncio.run(main(sys.argv[1], sys.argv[2])))
