"""Stand-ins of the platform's other parties on loopback: discovery's agent, the disk servers and the clients."""

import asyncio
import contextlib
import random
import re
from dataclasses import dataclass, field

from tests.fleet_size.fleet import Fleet
from tests.fleet_size.settings import DEADLINE_S, LARGEST_UNITS, READ, WRITE

HEARTBEAT_S = 2.0
SERVICE_S = 0.02
# A request gets its final answer half a second after its time at the latest.
ANSWER_GRACE_S = 0.5
VOLUMES = 60
SHARDS_OF_VOLUME = 4
NEW_OBJECT = -1
NEW_OBJECT_FRACTION = 0.15
WRITE_FRACTION = 0.3
WRITE_BODY = b"w" * 4096


async def read_message(reader: asyncio.StreamReader) -> tuple[str, bytes]:
    """Returns the head and the body of an HTTP message with a length. Raises IncompleteReadError at the end."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    length = int(header(head, "Content-Length") or 0)
    return head, await reader.readexactly(length)


def header(head: str, name: str) -> str | None:
    for line in head.split("\r\n")[1:]:
        key, _, value = line.partition(":")
        if key.lower() == name.lower():
            return value.strip()
    return None


def answer_to(trace_id: str) -> bytes:
    """Returns the body of a disk server's answer."""
    return b"answer to " + trace_id.encode()


class StandIn:
    """Accepts connections on loopback; a connection that breaks ends its handler alone."""

    def __init__(self) -> None:
        self.server: asyncio.Server | None = None
        self.address = ""
        self.accepted = 0
        self._handlers: set[asyncio.Task] = set()

    async def start(self) -> None:
        self.server = await asyncio.start_server(self._accept, "127.0.0.1", 0, backlog=1024)
        host, port = self.server.sockets[0].getsockname()
        self.address = f"{host}:{port}"

    async def stop(self) -> None:
        self.server.close()
        for handler in self._handlers:
            handler.cancel()
        await asyncio.gather(*self._handlers, return_exceptions=True)

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.accepted += 1
        handler = asyncio.current_task()
        self._handlers.add(handler)
        try:
            await self.serve(reader, writer)
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self._handlers.discard(handler)
            writer.close()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        raise NotImplementedError


class Agent(StandIn):
    """Discovery's agent: a watch gets what changed after the version that it names, the whole list if it names
    none, then each change and an empty line every 2 s."""

    def __init__(self, fleet: Fleet) -> None:
        super().__init__()
        self.fleet = fleet
        self.list_bytes = 0
        self._changed = asyncio.Event()

    def notify(self) -> None:
        """The fleet has a new version."""
        self._changed.set()
        self._changed = asyncio.Event()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        request = await reader.readuntil(b"\r\n\r\n")
        index = int(re.search(rb"[?&]index=(\d+)", request)[1])
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        self._send(writer, self.fleet.changes_since(index) if index > 0 else self.fleet.full_list())
        sent = self.fleet.generation
        while True:
            changed = self._changed
            if sent == self.fleet.generation:
                with contextlib.suppress(asyncio.TimeoutError):
                    await asyncio.wait_for(changed.wait(), HEARTBEAT_S)
            if sent == self.fleet.generation:
                self._send(writer, "")
            else:
                self._send(writer, self.fleet.changes_since(sent))
                sent = self.fleet.generation
            await writer.drain()

    def _send(self, writer: asyncio.StreamWriter, line: str) -> None:
        data = line.encode() + b"\n"
        self.list_bytes += len(data)
        writer.write(b"%x\r\n%s\r\n" % (len(data), data))


class DiskServers(StandIn):
    """All disk servers at one address: each request is answered after its service time."""

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            head, _ = await read_message(reader)
            await asyncio.sleep(SERVICE_S)
            answer = answer_to(header(head, "X-Trace-Id"))
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(answer), answer))
            await writer.drain()


@dataclass
class Answers:
    """How the clients' requests ended."""

    served: int = 0
    rejected: int = 0
    failed: int = 0
    lost: list[str] = field(default_factory=list)

    @property
    def requests(self) -> int:
        return self.served + self.rejected + self.failed + len(self.lost)

    @property
    def share_served(self) -> float:
        return self.served / self.requests


class Clients:
    """Clients on connections that stay open, which together send requests at a mean rate."""

    def __init__(self, address: str, node_count: int, seed: int) -> None:
        self.answers = Answers()
        self._host, port = address.split(":")
        self._port = int(port)
        self._random = random.Random(seed)
        self._shards = [
            [self._random.randrange(node_count) for _ in range(SHARDS_OF_VOLUME)] for _ in range(VOLUMES)
        ]
        self._ends = False
        self._tasks: list[asyncio.Task] = []

    def expected_answer(self, trace_id: str) -> bytes:
        """Returns the body that the request's disk server sends."""
        return answer_to(trace_id)

    def start(self, connections: int, requests_per_second: float) -> None:
        pause = connections / requests_per_second
        self._tasks = [asyncio.create_task(self._run(pause)) for _ in range(connections)]

    async def finish(self) -> None:
        """Sends no further request and waits for the answers that are owed."""
        self._ends = True
        await asyncio.gather(*self._tasks)

    async def _run(self, mean_pause: float) -> None:
        streams = None
        while not self._ends:
            await asyncio.sleep(self._random.expovariate(1 / mean_pause))
            # The scheduler may end connections that rest.
            if streams is None or streams[0].at_eof():
                streams = await asyncio.open_connection(self._host, self._port)
            if not await self._request(*streams):
                streams[1].close()
                streams = None
        if streams:
            streams[1].close()

    async def _request(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        """Sends a request and counts its answer. Returns whether the connection may be used again."""
        trace_id = f"{self._random.getrandbits(64):016x}"
        workload = WRITE if self._random.random() < WRITE_FRACTION else READ
        writer.write(self._message(trace_id, workload))
        try:
            reading = asyncio.wait_for(read_message(reader), DEADLINE_S[workload] + ANSWER_GRACE_S)
            head, body = await reading
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError) as error:
            self.answers.lost.append(f"{trace_id}: {type(error).__name__}")
            return False
        status = head.split()[1]
        if status == "200" and body != self.expected_answer(trace_id):
            self.answers.lost.append(f"{trace_id}: another request's answer")
        elif status == "200":
            self.answers.served += 1
        elif status in ("429", "503"):
            self.answers.rejected += 1
        else:
            self.answers.failed += 1
        return "connection: close" not in head.lower()

    def _message(self, trace_id: str, workload: str) -> bytes:
        volume = self._random.randrange(VOLUMES)
        shard = self._random.choice(self._shards[volume])
        body = b""
        if workload == WRITE:
            body = WRITE_BODY
            shard = NEW_OBJECT if self._random.random() < NEW_OBJECT_FRACTION else shard
        lines = [
            f"{'PUT' if body else 'GET'} /{workload} HTTP/1.1",
            "Host: origin.svc",
            f"X-Trace-Id: {trace_id}",
            "X-Storage-Class: premium",
            f"Cookie: object={self._random.getrandbits(64):016x}",
            f"X-Expires-In: {DEADLINE_S[workload]:.3f}",
            f"X-Extent: volume={volume:016x},units={self._random.randint(1, LARGEST_UNITS // 2)},"
            f"shard={shard},hosts=3",
        ]
        if body:
            lines += [f"Idempotency-Key: key-{trace_id}", f"Content-Length: {len(body)}"]
        return ("\r\n".join(lines) + "\r\n\r\n").encode() + body
