"""The hostile clients: each kind in a process of its own, so that it doesn't slow down who measures.

    python3 -m tests.hostile_clients.traffic KIND HOST:PORT SECONDS CLIENTS SEED
"""

import asyncio
import itertools
import random
import socket
import sys
import time
from collections.abc import Callable, Iterator

from tests.fleet_size.settings import READ, WRITE

LARGEST_BODY = 64 * 1024
UNFINISHED_BODY = LARGEST_BODY * 3 // 4
# Most of what is kept behind an open request.
BEHIND_BODY = 55 * 1024
SHORT_FIELDS = 60
CHECK = b"GET /healthz HTTP/1.1\r\n\r\n"
CONNECT_TIMEOUT_S = 2.0
BATCH_BYTES = 32 * 1024


def request(
    trace_id: str, volume: int, workload: str = READ, body: bytes = b"", expires_in: float = 1.0
) -> bytes:
    """Returns a request of a shard that no disk server holds more of than others."""
    lines = [
        f"{'PUT' if body else 'GET'} /{workload} HTTP/1.1",
        "Host: origin.svc",
        f"X-Trace-Id: {trace_id}",
        "X-Storage-Class: standard",
        f"Cookie: object={volume:016x}",
        f"X-Expires-In: {expires_in:.3f}",
        f"X-Extent: volume={volume:016x},units=1,shard={volume % 9},hosts=3",
    ]
    if body:
        lines += [f"Idempotency-Key: key-{trace_id}", f"Content-Length: {len(body)}"]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


def _connect(address: str) -> socket.socket:
    host, port = address.split(":")
    return socket.create_connection((host, int(port)), CONNECT_TIMEOUT_S)


def _flood(address: str, seconds: float, batches: Iterator[bytes], reads: bool) -> int:
    """Sends on one connection at full speed, and on a new one once it has ended. Returns the bytes sent."""
    sent = 0
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        try:
            with _connect(address) as connection:
                connection.setblocking(False)
                sent += _flood_connection(connection, end, batches, reads)
        except OSError:
            time.sleep(0.01)
    return sent


def _flood_connection(connection: socket.socket, end: float, batches: Iterator[bytes], reads: bool) -> int:
    sent = 0
    batch = b""
    while time.monotonic() < end:
        batch = batch or next(batches)
        try:
            count = connection.send(batch)
            sent += count
            batch = batch[count:]
        except BlockingIOError:
            time.sleep(0.0002)
        if not reads:
            continue
        try:
            if not connection.recv(1 << 20):
                return sent
        except BlockingIOError:
            pass
    return sent


def _checks() -> Iterator[bytes]:
    return itertools.repeat(CHECK * (BATCH_BYTES // len(CHECK)))


def _new_names(seed: int, expires_in: float) -> Iterator[bytes]:
    """One request at a time, each with a new id and of a new volume and object."""
    numbers = random.Random(seed)
    for count in itertools.count():
        yield request(f"flood-{seed}-{count}", numbers.getrandbits(62), expires_in=expires_in)


def _unsound() -> Iterator[bytes]:
    for number in itertools.count():
        yield b"GET /none%d HTTP/1.1\r\nHost: a\r\n\r\n" % number


def _ask_new_names(address: str, seconds: float, seed: int) -> int:
    """Asks one request after the other on a connection, each answered before the next. Returns their number."""
    end = time.monotonic() + seconds
    asked = 0
    requests = _new_names(seed, 0.02)
    while time.monotonic() < end:
        try:
            with _connect(address) as connection:
                while time.monotonic() < end:
                    connection.sendall(next(requests))
                    if not connection.recv(1 << 16):
                        break
                    asked += 1
        except OSError:
            time.sleep(0.01)
    return asked


def _connect_and_leave(address: str, seconds: float) -> int:
    """Connects and leaves again, at full speed. Returns how often."""
    end = time.monotonic() + seconds
    connections = 0
    while time.monotonic() < end:
        try:
            with _connect(address):
                connections += 1
        except OSError:
            time.sleep(0.01)
    return connections


def _unfinished_body(number: int) -> Iterator[bytes]:
    """A large request that stops half way, written in pieces."""
    whole = request(f"unfinished-{number}-{time.monotonic_ns()}", number, WRITE, b"w" * LARGEST_BODY)
    pieces = 16
    length = UNFINISHED_BODY // pieces
    for start in range(0, UNFINISHED_BODY, length):
        end = start + length
        yield whole[start:end]


def _short_fields(number: int) -> Iterator[bytes]:
    """A head of many short fields that doesn't end."""
    yield b"GET /%d HTTP/1.1\r\n" % number
    for field in range(SHORT_FIELDS):
        yield b"f%d:v\r\n" % field


def _slow_bytes_behind_a_request(number: int) -> Iterator[bytes]:
    """A request, and the next ones byte by byte while it is open."""
    yield request(f"first-{number}-{time.monotonic_ns()}", number)
    for byte in request(f"next-{number}-{time.monotonic_ns()}", number, WRITE, b"w" * 4096):
        yield bytes([byte])


def _large_request_behind_a_request(number: int) -> Iterator[bytes]:
    """A request and a large one behind it, in one write."""
    first = request(f"first-{number}-{time.monotonic_ns()}", number)
    yield first + request(f"behind-{number}-{time.monotonic_ns()}", number, WRITE, b"w" * BEHIND_BODY)


async def _hold(
    address: str, end: float, number: int, pieces: Callable[[int], Iterator[bytes]], pause: float
) -> None:
    """Writes the pieces on a connection, waits until the scheduler ends it, and begins again."""
    host, port = address.split(":")
    while time.monotonic() < end:
        try:
            reader, writer = await asyncio.open_connection(host, int(port))
        except OSError:
            await asyncio.sleep(0.05)
            continue
        try:
            for piece in pieces(number):
                if reader.at_eof():
                    break
                writer.write(piece)
                await asyncio.sleep(pause)
            await asyncio.wait_for(reader.read(), max(0.01, end - time.monotonic()))
        except (OSError, asyncio.TimeoutError):
            pass
        finally:
            writer.close()


async def _hold_many(
    address: str, seconds: float, clients: int, pieces: Callable[[int], Iterator[bytes]], pause: float
) -> None:
    end = time.monotonic() + seconds
    await asyncio.gather(*(_hold(address, end, number, pieces, pause) for number in range(clients)))


FLOODS: dict[str, Callable[[str, float, int], int]] = {
    "checks-unread": lambda address, seconds, _: _flood(address, seconds, _checks(), False),
    "checks-read": lambda address, seconds, _: _flood(address, seconds, _checks(), True),
    "new-names": lambda address, seconds, seed: _flood(address, seconds, _new_names(seed, 1.0), True),
    "new-names-expired": lambda address, seconds, seed: _flood(
        address, seconds, _new_names(seed, 0.001), True
    ),
    "new-names-in-turn": _ask_new_names,
    "connections": lambda address, seconds, _: _connect_and_leave(address, seconds),
    "unsound": lambda address, seconds, _: _flood(address, seconds, _unsound(), True),
}

HOLDS: dict[str, tuple[Callable[[int], Iterator[bytes]], float]] = {
    "unfinished-bodies": (_unfinished_body, 0.03),
    "short-fields": (_short_fields, 0.01),
    "slow-bytes": (_slow_bytes_behind_a_request, 0.0),
    "behind-a-request": (_large_request_behind_a_request, 0.0),
}

KINDS = (*FLOODS, *HOLDS)


def main() -> int:
    kind, address = sys.argv[1], sys.argv[2]
    seconds, clients, seed = float(sys.argv[3]), int(sys.argv[4]), int(sys.argv[5])
    if kind in HOLDS:
        pieces, pause = HOLDS[kind]
        asyncio.run(_hold_many(address, seconds, clients, pieces, pause))
        return 0
    print(f"{kind}: {FLOODS[kind](address, seconds, seed)}", flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(main())
