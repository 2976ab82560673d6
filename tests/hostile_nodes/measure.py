"""Plays disk servers with answers that take much memory on a scheduler process and prints what came of it:

    python3 -m tests.hostile_nodes.measure build/knotvane-edge [--kinds endless,large] [--log FILE]
"""

import argparse
import asyncio
import signal
import sys
import tempfile
from dataclasses import dataclass, field
from pathlib import Path

from tests.fleet_size.fleet import Fleet
from tests.fleet_size.measure import Scheduler
from tests.fleet_size.stand_ins import SERVICE_S, Agent, Answers, DiskServers, answer_to, header, read_message
from tests.hostile_clients.measure import MAX_SOCKETS, NODES, GoodClients

# The most requests a second that one of the platform's schedulers gets, and the memory of its smallest host.
REQUESTS_PER_SECOND = 180.0
CONNECTIONS = 115
# One answer in this many never ends.
ENDLESS_IN = 4
# Just under what one answer may have.
ENDLESS_START = bytes(900_000)
ENDLESS_PAUSE_S = 0.1
# The largest valid answers that were seen.
LARGE_ANSWER = bytes(400_000)
HOLD_UP_S = 0.3
HOLD_UP_EVERY_S = 1.0


def number_of(trace_id: str) -> int:
    """Returns a number by which a request's answer is chosen: the same at each disk server."""
    return int(trace_id, 16)


class EndlessDiskServers(DiskServers):
    """Some answers go on byte by byte, wherever their request is sent."""

    def __init__(self) -> None:
        super().__init__()
        self.endless = 0

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            head, _ = await read_message(reader)
            await asyncio.sleep(SERVICE_S)
            trace_id = header(head, "X-Trace-Id")
            if number_of(trace_id) % ENDLESS_IN == 0:
                await self._send_endless(writer)
            answer = answer_to(trace_id)
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(answer), answer))
            await writer.drain()

    async def _send_endless(self, writer: asyncio.StreamWriter) -> None:
        """Returns only by the error with which the connection breaks."""
        self.endless += 1
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        writer.write(b"%x\r\n%s\r\n" % (len(ENDLESS_START), ENDLESS_START))
        while True:
            await writer.drain()
            await asyncio.sleep(ENDLESS_PAUSE_S)
            writer.write(b"1\r\nx\r\n")


def large_answer_to(trace_id: str) -> bytes:
    return answer_to(trace_id) + LARGE_ANSWER


class LargeDiskServers(DiskServers):
    """Each answer is as large as they come."""

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            head, _ = await read_message(reader)
            await asyncio.sleep(SERVICE_S)
            answer = large_answer_to(header(head, "X-Trace-Id"))
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(answer))
            writer.write(answer)
            await writer.drain()


class ClientsOfLargeAnswers(GoodClients):
    """They get large answers whole."""

    def expected_answer(self, trace_id: str) -> bytes:
        return large_answer_to(trace_id)


@dataclass
class Outcome:
    """What a scheduler needed, and how the clients' requests ended."""

    kind: str
    ended: str = ""
    memory_before_mb: float = 0.0
    peak_memory_mb: float = 0.0
    memory_at_end_mb: float = 0.0
    slowest_s: float = 0.0
    answers: Answers = field(default_factory=Answers)


async def _run_with_hold_ups(scheduler: Scheduler, seconds: float) -> None:
    """Holds the process up now and then, so that it finds all answers of that time at once."""
    for _ in range(int(seconds / HOLD_UP_EVERY_S)):
        scheduler.send_signal(signal.SIGSTOP)
        await asyncio.sleep(HOLD_UP_S)
        scheduler.send_signal(signal.SIGCONT)
        await scheduler.run_for(HOLD_UP_EVERY_S - HOLD_UP_S)


KINDS = {
    "endless": (EndlessDiskServers, GoodClients, Scheduler.run_for),
    "endless-held-up": (EndlessDiskServers, GoodClients, _run_with_hold_ups),
    "large-held-up": (LargeDiskServers, ClientsOfLargeAnswers, _run_with_hold_ups),
}


async def play(program: Path, kind: str, seconds: float, log_path: Path, seed: int = 1) -> Outcome:
    """Plays one kind of disk servers for some seconds on a scheduler of its own."""
    outcome = Outcome(kind)
    servers_type, clients_type, run = KINDS[kind]
    disk_servers = servers_type()
    await disk_servers.start()
    fleet = Fleet.of_size(NODES, disk_servers.address)
    agent = Agent(fleet)
    await agent.start()
    with tempfile.TemporaryDirectory(prefix="knotvane-hostile-nodes-") as folder:
        scheduler = Scheduler(program, fleet, agent, Path(folder), log_path, MAX_SOCKETS)
        try:
            await scheduler.start()
            outcome.memory_before_mb = scheduler.memory_mb("VmRSS")
            clients = clients_type(scheduler.address, NODES, seed)
            clients.start(CONNECTIONS, REQUESTS_PER_SECOND)
            try:
                await run(scheduler, seconds)
                await clients.finish()
                outcome.memory_at_end_mb = scheduler.memory_mb("VmRSS")
                outcome.peak_memory_mb = scheduler.memory_mb("VmHWM")
            except Exception as error:  # noqa: BLE001  the scheduler's end is a result
                outcome.ended = f"{type(error).__name__}: {error}"
            outcome.answers, outcome.slowest_s = clients.answers, clients.slowest_s
            return outcome
        finally:
            await scheduler.end()
            for stand_in in (agent, disk_servers):
                await stand_in.stop()


def _print(outcome: Outcome) -> None:
    answers = outcome.answers
    print(
        f"{outcome.kind:18} before {outcome.memory_before_mb:6.1f} MB, peak {outcome.peak_memory_mb:6.1f}, at the end "
        f"{outcome.memory_at_end_mb:6.1f}; served {answers.served}, rejected {answers.rejected}, failed "
        f"{answers.failed}, lost {len(answers.lost)}, slowest {outcome.slowest_s:.3f} s "
        f"{outcome.ended}",
        flush=True,
    )


def main() -> int:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("program", type=Path, help="knotvane-edge, built without sanitizers")
    parser.add_argument("--kinds", default=",".join(KINDS), help="(default: all)")
    parser.add_argument("--seconds", type=float, default=5.0)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--log", type=Path, default=Path("/dev/null"), help="the scheduler's log")
    arguments = parser.parse_args()
    for kind in arguments.kinds.split(","):
        _print(asyncio.run(play(arguments.program, kind, arguments.seconds, arguments.log, arguments.seed)))
    return 0


if __name__ == "__main__":
    sys.exit(main())
