"""A stand-in storage node that speaks docs/node-protocol.md, with a write cache that a power cut empties.

node.py NUMBER PORT FOLDER: node NUMBER holds shard NUMBER - 1. It holds what is written in memory, as a disk's cache does, and writes it to FOLDER/NUMBER.image
when it is told to flush. SIGKILL is a power cut: what was not flushed is lost, and the next start has a new incarnation.
FOLDER/NUMBER.txt gets a line for each write and flush. It honours not-after times and deduplication marks.
"""

import asyncio
import pickle
import struct
import sys
import time
from pathlib import Path

HEADER = struct.Struct("<4sBBHIIQQQIIQQqiII")
MAGIC = b"KVN1"
HELLO, WELCOME, READ, WRITE, ZERO, FLUSH, BLOCK_STATUS, CANCEL, ANSWER = range(1, 10)
OK, ERROR, EXPIRED, MISDIRECTED = 0, 1, 3, 5
DURABLE, MARKED = 1, 2
NODE_ID = int(sys.argv[1])
SHARD = NODE_ID - 1
BLOCK = 512

_table = []
for _byte in range(256):
    _value = _byte
    for _ in range(8):
        _value = (_value >> 1) ^ (0x82F63B78 if _value & 1 else 0)
    _table.append(_value)


def crc32c(data: bytes) -> int:
    value = 0xFFFFFFFF
    for byte in data:
        value = _table[(value ^ byte) & 0xFF] ^ (value >> 8)
    return value ^ 0xFFFFFFFF


def frame(kind, status=0, tag=0, volume=0, offset=0, length=0, incarnation=0, number=0, payload=b"") -> bytes:
    clock = time.time_ns()

    def header(crc):
        return HEADER.pack(
            MAGIC, kind, 0, status, len(payload), crc, tag, volume, offset, length, 0, incarnation, number,
            clock, SHARD, crc32c(payload), 0,
        )  # fmt: skip

    return header(crc32c(header(0))) + payload


class Node:
    def __init__(self, folder: Path) -> None:
        self.image_path = folder / f"{NODE_ID}.image"
        self.record = open(folder / f"{NODE_ID}.txt", "a", encoding="utf-8")
        state = pickle.loads(self.image_path.read_bytes()) if self.image_path.exists() else (0, {}, {})
        self.incarnation, self.blocks, self.marks = state[0] + 1, state[1], state[2]
        self.started = time.time_ns() if state[0] else 0
        self.save()
        self.note(f"starts, incarnation {self.incarnation}")

    def note(self, text: str) -> None:
        self.record.write(f"{time.time():.3f} node {NODE_ID}: {text}\n")
        self.record.flush()

    def save(self) -> None:
        new = self.image_path.with_suffix(".new")
        new.write_bytes(pickle.dumps((self.incarnation, self.blocks, self.marks)))
        new.replace(self.image_path)

    def get(self, volume: int, offset: int, length: int) -> bytes:
        first, last = offset // BLOCK, (offset + length + BLOCK - 1) // BLOCK
        data = b"".join(self.blocks.get((volume, at), bytes(BLOCK)) for at in range(first, last))
        return data[offset % BLOCK :][:length]

    def put(self, volume: int, offset: int, data: bytes) -> None:
        before = offset % BLOCK
        after = -(offset + len(data)) % BLOCK
        whole = self.get(volume, offset - before, before) + data + self.get(volume, offset + len(data), after)
        for at in range(len(whole) // BLOCK):
            self.blocks[volume, (offset - before) // BLOCK + at] = whole[at * BLOCK :][:BLOCK]

    def execute(self, request: tuple, payload: bytes) -> tuple[int, bytes]:
        """Carries out a request; returns the answer's status and payload."""
        kind, flags, volume, offset, length, mark, not_after, shard = request
        if shard != SHARD:
            return MISDIRECTED, b""
        if kind == READ:
            return OK, self.get(volume, offset, length)
        if kind in (WRITE, ZERO):
            if 0 < not_after < time.time_ns():
                return EXPIRED, b""
            if flags & MARKED and mark in self.marks:
                self.note(f"repeat of the write at {offset}, not done again")
            else:
                self.put(volume, offset, payload if kind == WRITE else bytes(length))
                self.marks[mark] = not_after
                self.note(f"write of {length} bytes of {payload[:1]!r} at {offset}, in the cache")
            if flags & DURABLE:
                self.save()
            return OK, b""
        if kind == FLUSH:
            self.save()
            self.note("flush: all is durable")
            return OK, b""
        if kind == BLOCK_STATUS:
            return OK, struct.pack("<II", length, 0)
        return ERROR, b""

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                fields = HEADER.unpack(await reader.readexactly(HEADER.size))
                (_magic, kind, flags, _status, size, _crc, tag, volume, offset, length, _units, incarnation,
                 number, not_after, shard, _payload_crc, _epoch) = fields  # fmt: skip
                payload = await reader.readexactly(size)
                if kind == HELLO:
                    writer.write(
                        frame(WELCOME, tag=NODE_ID, offset=self.started, incarnation=self.incarnation)
                    )
                elif kind != CANCEL:
                    mark = (incarnation, number)
                    request = (kind, flags, volume, offset, length, mark, not_after, shard)
                    status, data = self.execute(request, payload)
                    writer.write(
                        frame(ANSWER, status, tag, volume, offset, length, self.incarnation, number, data)
                    )
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()


async def main() -> None:
    port, folder = int(sys.argv[2]), Path(sys.argv[3])
    node = Node(folder)
    server = await asyncio.start_server(node.serve, "127.0.0.1", port)
    async with server:
        await server.serve_forever()


asyncio.run(main())
