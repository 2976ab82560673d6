"""Plays clients that leave with requests unread, and ids that come again, on a scheduler that is held up:

    python3 -m tests.hostile_clients.departures build/knotvane-edge [--seed 1]
"""

import argparse
import asyncio
import collections
import os
import random
import signal
import socket
import sys
import tempfile
import time
from dataclasses import dataclass, field
from pathlib import Path

from tests.fleet_size.fleet import Fleet
from tests.fleet_size.measure import Scheduler
from tests.fleet_size.stand_ins import SERVICE_S, Agent, DiskServers, header, read_message
from tests.hostile_clients.measure import MAX_SOCKETS, NODES
from tests.hostile_clients.traffic import request

# What the acceptance allows between a client's close and the start of an attempt for it.
ALLOWED_AFTER_CLOSE_S = 0.1
# A scheduler may be held up for this long; twice of it lies between what is read and what follows.
HOLD_UP_S = 0.15
LONG_HOLD_UP_S = 2 * HOLD_UP_S
DEPARTURES = 60
MOST_PIPELINED = 400
REPEATED_IDS = 20
IDS_BETWEEN = 6000


class RecordingDiskServers(DiskServers):
    """Notes when each attempt arrived."""

    def __init__(self) -> None:
        super().__init__()
        self.arrivals: dict[str, list[float]] = collections.defaultdict(list)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            head, _ = await read_message(reader)
            trace_id = header(head, "X-Trace-Id")
            self.arrivals[trace_id].append(time.monotonic())
            await asyncio.sleep(SERVICE_S)
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
            await writer.drain()


@dataclass
class Findings:
    """What broke a rule."""

    departures: int = 0
    attempts: int = 0
    late_attempts: list[str] = field(default_factory=list)
    ids_run_twice: list[str] = field(default_factory=list)


def _connect(address: str) -> socket.socket:
    host, port = address.split(":")
    return socket.create_connection((host, int(port)), 2.0)


def _send_and_leave(address: str, requests: list[bytes]) -> float:
    """Sends requests and closes the connection at once. Returns when."""
    with _connect(address) as connection:
        connection.settimeout(0.05)
        try:
            connection.sendall(b"".join(requests))
        except OSError:
            pass
    return time.monotonic()


def _ask(address: str, requests: list[bytes]) -> None:
    """Asks one request after the other on a connection."""
    connection = _connect(address)
    for text in requests:
        try:
            connection.sendall(text)
            answer = connection.recv(1 << 16)
            ended = not answer or b"connection: close" in answer.lower()
        except OSError:
            ended = True
        if ended:
            connection.close()
            connection = _connect(address)
    connection.close()


async def _play_departures(
    scheduler: Scheduler, disk_servers: RecordingDiskServers, findings: Findings, numbers: random.Random
) -> None:
    loop = asyncio.get_running_loop()
    closed_at: dict[str, float] = {}
    for number in range(DEPARTURES):
        # A resting connection to each node: an attempt can begin in the turn in which it is decided.
        warm = [request(f"warm-{number}-{node}", node) for node in range(NODES)]
        await loop.run_in_executor(None, _ask, scheduler.address, warm)
        await asyncio.sleep(0.02)
        count = numbers.choice((1, 1, 20, MOST_PIPELINED))
        ids = [f"left-{number}-{index}" for index in range(count)]
        held_up = numbers.choice((0.0, HOLD_UP_S, LONG_HOLD_UP_S))
        if held_up:
            scheduler.send_signal(signal.SIGSTOP)
        requests = [request(trace_id, numbers.randrange(NODES)) for trace_id in ids]
        when = await loop.run_in_executor(None, _send_and_leave, scheduler.address, requests)
        closed_at.update((trace_id, when) for trace_id in ids)
        if held_up:
            await asyncio.sleep(held_up)
            scheduler.send_signal(signal.SIGCONT)
        await asyncio.sleep(0.05)
    await asyncio.sleep(0.5)
    findings.departures = DEPARTURES
    for trace_id, when in closed_at.items():
        for arrival in disk_servers.arrivals.get(trace_id, []):
            findings.attempts += 1
            if arrival > when + ALLOWED_AFTER_CLOSE_S:
                findings.late_attempts.append(f"{trace_id}: {arrival - when:.3f} s after the close")


async def _play_repeats(scheduler: Scheduler, disk_servers: RecordingDiskServers, findings: Findings) -> None:
    loop = asyncio.get_running_loop()
    ids = [f"again-{index}" for index in range(REPEATED_IDS)]
    for index, trace_id in enumerate(ids):
        _send_and_leave(scheduler.address, [request(trace_id, index)])
        await asyncio.sleep(0.01)
    # Requests whose time is over at once: no node gets them.
    between = [request(f"between-{number}", number, expires_in=0.001) for number in range(IDS_BETWEEN)]
    await loop.run_in_executor(None, _ask, scheduler.address, between)
    again = [request(trace_id, index) for index, trace_id in enumerate(ids)]
    await loop.run_in_executor(None, _ask, scheduler.address, again)
    findings.ids_run_twice = [
        f"{trace_id}: {len(disk_servers.arrivals[trace_id])} times"
        for trace_id in ids
        if len(disk_servers.arrivals[trace_id]) > 1
    ]


async def play(program: Path, log_path: Path, seed: int = 1) -> Findings:
    """Plays departures, then ids that come again, on a scheduler of its own."""
    findings = Findings()
    disk_servers = RecordingDiskServers()
    await disk_servers.start()
    fleet = Fleet.of_size(NODES, disk_servers.address)
    agent = Agent(fleet)
    await agent.start()
    with tempfile.TemporaryDirectory(prefix="knotvane-departures-") as folder:
        scheduler = Scheduler(program, fleet, agent, Path(folder), log_path, MAX_SOCKETS)
        try:
            await scheduler.start()
            await _play_departures(scheduler, disk_servers, findings, random.Random(seed))
            await _play_repeats(scheduler, disk_servers, findings)
            return findings
        finally:
            await scheduler.end()
            for stand_in in (agent, disk_servers):
                await stand_in.stop()


def main() -> int:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("program", type=Path, help="knotvane-edge, built without sanitizers")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--log", type=Path, default=Path(os.devnull), help="the scheduler's log")
    arguments = parser.parse_args()
    findings = asyncio.run(play(arguments.program, arguments.log, arguments.seed))
    print(
        f"{findings.departures} departures, {findings.attempts} attempts for them, {len(findings.late_attempts)} "
        f"of these late; {len(findings.ids_run_twice)} of {REPEATED_IDS} ids run twice"
    )
    for line in (findings.late_attempts + findings.ids_run_twice)[:10]:
        print(f"  {line}")
    return 0


if __name__ == "__main__":
    sys.exit(main())
