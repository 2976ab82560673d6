"""Plays hostile clients beside well-behaved ones on a scheduler process and prints what came of it:

    python3 -m tests.hostile_clients.measure build/knotvane-edge [--kinds checks-unread,new-names] [--log FILE]
"""

import argparse
import asyncio
import sys
import tempfile
from dataclasses import dataclass, field
from pathlib import Path

from tests.fleet_size.fleet import Fleet
from tests.fleet_size.measure import Scheduler
from tests.fleet_size.settings import DEADLINE_S
from tests.fleet_size.stand_ins import Agent, Answers, Clients, DiskServers
from tests.hostile_clients.traffic import HOLDS, KINDS

NODES = 9
# The least memory and the most descriptors that the platform's pages name.
MEMORY_LIMIT_MB = 32
MAX_SOCKETS = 1024
HOLDING_CLIENTS = 640
FLOODING_CLIENTS = 6
GOOD_CONNECTIONS = 20
GOOD_REQUESTS_PER_SECOND = 60.0
QUIET_S = 1.0


@dataclass
class Outcome:
    """What a scheduler needed, and how the well-behaved clients' requests ended."""

    kind: str
    ended: str = ""
    memory_before_mb: float = 0.0
    peak_memory_mb: float = 0.0
    memory_at_end_mb: float = 0.0
    cpu_seconds: float = 0.0
    slowest_s: float = 0.0
    late: list[str] = field(default_factory=list)
    answers: Answers = field(default_factory=Answers)


class GoodClients(Clients):
    """Clients that send one request at a time and send it once more where a resting connection ended under it."""

    def __init__(self, address: str, node_count: int, seed: int) -> None:
        super().__init__(address, node_count, seed)
        self.late: list[str] = []
        self.slowest_s = 0.0
        self.refused_connections = 0

    async def _run(self, mean_pause: float) -> None:
        streams = None
        while not self._ends:
            await asyncio.sleep(self._random.expovariate(1 / mean_pause))
            if streams is not None and streams[0].at_eof():
                streams[1].close()
                streams = None
            fresh = streams is None
            try:
                streams = streams or await asyncio.open_connection(self._host, self._port)
                lost = len(self.answers.lost)
                keep = await self._timed_request(streams)
                if not keep and not fresh and len(self.answers.lost) > lost:
                    # The request crossed the end of a resting connection.
                    self.answers.lost.pop()
                    streams[1].close()
                    streams = await asyncio.open_connection(self._host, self._port)
                    keep = await self._timed_request(streams)
            except OSError:
                self.refused_connections += 1
                keep, streams = False, None
            if not keep and streams:
                streams[1].close()
                streams = None
        if streams:
            streams[1].close()

    async def _timed_request(self, streams: tuple[asyncio.StreamReader, asyncio.StreamWriter]) -> bool:
        clock = asyncio.get_running_loop().time
        begun = clock()
        keep = await self._request(*streams)
        took = clock() - begun
        self.slowest_s = max(self.slowest_s, took)
        if took > max(DEADLINE_S.values()):
            self.late.append(f"{took:.3f} s")
        return keep


async def play(program: Path, kind: str, seconds: float, log_path: Path, seed: int = 1) -> Outcome:
    """Plays one kind of hostile clients for some seconds on a scheduler of its own."""
    outcome = Outcome(kind)
    disk_servers = DiskServers()
    await disk_servers.start()
    fleet = Fleet.of_size(NODES, disk_servers.address)
    agent = Agent(fleet)
    await agent.start()
    hostile: list[asyncio.subprocess.Process] = []
    with tempfile.TemporaryDirectory(prefix="knotvane-hostile-clients-") as folder:
        scheduler = Scheduler(program, fleet, agent, Path(folder), log_path, MAX_SOCKETS)
        try:
            await scheduler.start()
            good = GoodClients(scheduler.address, NODES, seed)
            good.start(GOOD_CONNECTIONS, GOOD_REQUESTS_PER_SECOND)
            await scheduler.run_for(QUIET_S)
            outcome.memory_before_mb = scheduler.memory_mb("VmRSS")
            processes = 1 if kind in HOLDS else FLOODING_CLIENTS
            clients = HOLDING_CLIENTS if kind in HOLDS else 1
            for number in range(processes):
                hostile_seed = seed * FLOODING_CLIENTS + number
                hostile.append(await _start_hostile(kind, scheduler.address, seconds, clients, hostile_seed))
            try:
                await scheduler.run_for(seconds + QUIET_S)
                await good.finish()
                outcome.memory_at_end_mb = scheduler.memory_mb("VmRSS")
                outcome.cpu_seconds = scheduler.cpu_seconds()
                outcome.peak_memory_mb = scheduler.memory_mb("VmHWM")
            except Exception as error:  # noqa: BLE001  the scheduler's end is a result
                outcome.ended = f"{type(error).__name__}: {error}"
            outcome.answers, outcome.late, outcome.slowest_s = good.answers, good.late, good.slowest_s
            return outcome
        finally:
            for process in hostile:
                if process.returncode is None:
                    process.kill()
                await process.wait()
            await scheduler.end()
            for stand_in in (agent, disk_servers):
                await stand_in.stop()


async def _start_hostile(
    kind: str, address: str, seconds: float, clients: int, seed: int
) -> asyncio.subprocess.Process:
    return await asyncio.create_subprocess_exec(
        sys.executable,
        "-B",
        "-m",
        "tests.hostile_clients.traffic",
        kind,
        address,
        str(seconds),
        str(clients),
        str(seed),
        stdout=asyncio.subprocess.DEVNULL,
        # What a client that the scheduler has ended would print, once for each write.
        stderr=asyncio.subprocess.DEVNULL,
    )


def _print(outcome: Outcome) -> None:
    answers = outcome.answers
    print(
        f"{outcome.kind:18} before {outcome.memory_before_mb:6.1f} MB, peak {outcome.peak_memory_mb:6.1f}, at the end "
        f"{outcome.memory_at_end_mb:6.1f}; CPU {outcome.cpu_seconds:5.2f} s; served {answers.served}, rejected "
        f"{answers.rejected}, failed {answers.failed}, lost {len(answers.lost)}, late {len(outcome.late)}, slowest "
        f"{outcome.slowest_s:.3f} s {outcome.ended}",
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
