"""Plays a release on a scheduler process in fleets of several sizes and prints what it needed:

    python3 -m tests.fleet_size.measure build/knotvane-edge [--nodes 200,3200] [--log FILE]
"""

import argparse
import asyncio
import json
import os
import signal
import socket
import sys
import tempfile
from dataclasses import dataclass, fields
from pathlib import Path

from tests.fleet_size.fleet import ACTIVE, LEAVING, LEFT, Fleet
from tests.fleet_size.settings import settings
from tests.fleet_size.stand_ins import Agent, Answers, Clients, DiskServers, read_message

REQUESTS_PER_SECOND = 100.0
CLIENT_CONNECTIONS = 40
MAX_SOCKETS = 256
MEMORY_LIMIT_MB = 32
READY_WITHIN_S = 10.0
STOP_WITHIN_S = 10.0
SAMPLE_S = 0.25
MEGABYTE = 1024.0


class SchedulerEnded(Exception):
    """The scheduler ended by itself, or was not ready or did not stop in time."""


@dataclass
class Needs:
    """What a scheduler needed over a day."""

    nodes: int
    cpu_seconds: float
    peak_memory_mb: float
    memory_after_first_release_mb: float
    memory_at_end_mb: float
    descriptors: int
    connections_to_nodes: int
    list_bytes: int
    answers: Answers


class Scheduler:
    """A scheduler process with its configuration in a temporary folder."""

    def __init__(
        self,
        program: Path,
        fleet: Fleet,
        agent: Agent,
        folder: Path,
        log_path: Path,
        max_sockets: int = MAX_SOCKETS,
    ) -> None:
        self._program, self._folder, self._log_path = program, folder, log_path
        self._process: asyncio.subprocess.Process | None = None
        self.max_descriptors = 0
        with socket.socket() as probe:
            probe.bind(("127.0.0.1", 0))
            self.address = f"127.0.0.1:{probe.getsockname()[1]}"
        self._config = {
            "name": "n0",
            "listen": self.address,
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": MEMORY_LIMIT_MB, "sockets": max_sockets},
            "settings": settings(len(fleet.instances)),
        }
        self._write_config(fleet, agent)

    def _write_config(self, fleet: Fleet, agent: Agent) -> None:
        self._config |= {"discovery": agent.address, "known": json.loads(fleet.full_list())}
        written = self._folder / "config.json.new"
        written.write_text(json.dumps(self._config), encoding="utf-8")
        written.rename(self._folder / "config.json")

    async def start(self) -> None:
        with open(self._log_path, "wb") as log:
            self._process = await asyncio.create_subprocess_exec(
                str(self._program),
                "--platform",
                "--config",
                str(self._folder / "config.json"),
                stderr=log,
            )
        for _ in range(int(READY_WITHIN_S / SAMPLE_S)):
            if await self._is_ready():
                return
            await asyncio.sleep(SAMPLE_S)
        raise SchedulerEnded(f"not ready within {READY_WITHIN_S} s")

    async def _is_ready(self) -> bool:
        host, port = self.address.split(":")
        try:
            reader, writer = await asyncio.open_connection(host, int(port))
        except OSError:
            return False
        try:
            writer.write(b"GET /healthz HTTP/1.1\r\nHost: n0\r\nConnection: close\r\n\r\n")
            return (await read_message(reader))[0].split()[1] == "200"
        except (OSError, asyncio.IncompleteReadError):
            return False
        finally:
            writer.close()

    def reload(self, fleet: Fleet, agent: Agent) -> None:
        self._write_config(fleet, agent)
        self.send_signal(signal.SIGHUP)

    def send_signal(self, number: signal.Signals) -> None:
        self._process.send_signal(number)

    async def run_for(self, duration: float) -> None:
        """Waits while counting descriptors. Raises SchedulerEnded if the process ends meanwhile."""
        end = asyncio.get_running_loop().time() + duration
        while (left := end - asyncio.get_running_loop().time()) > 0:
            if self._process.returncode is not None:
                raise SchedulerEnded(f"ended with {self._process.returncode}")
            self.max_descriptors = max(self.max_descriptors, len(os.listdir(self._proc("fd"))))
            await asyncio.sleep(min(left, SAMPLE_S))

    def memory_mb(self, name: str) -> float:
        """Returns a figure of the kernel: VmRSS, or VmHWM, its peak."""
        for line in self._proc("status").read_text().splitlines():
            if line.startswith(name + ":"):
                return int(line.split()[1]) / MEGABYTE
        raise SchedulerEnded(f"the kernel tells no {name}")

    def cpu_seconds(self) -> float:
        user, system = self._proc("stat").read_text().rsplit(")", 1)[1].split()[11:13]
        return (int(user) + int(system)) / os.sysconf("SC_CLK_TCK")

    async def stop(self) -> None:
        self._process.send_signal(signal.SIGTERM)
        code = await asyncio.wait_for(self._process.wait(), STOP_WITHIN_S)
        if code != 0:
            raise SchedulerEnded(f"ended with {code} after SIGTERM")

    def kill(self) -> None:
        if self._process and self._process.returncode is None:
            self._process.kill()

    async def end(self) -> None:
        """Kills the process if it is there, and waits for its end."""
        self.kill()
        if self._process:
            await self._process.wait()

    def _proc(self, name: str) -> Path:
        return Path(f"/proc/{self._process.pid}") / name


async def _play_release(fleet: Fleet, agents: list[Agent], scheduler: Scheduler, replaced: int) -> None:
    """Drains a part of the fleet, takes it out in four waves and brings it back cold: most nodes under their
    ids, every fourth under a new one."""
    part = len(fleet.instances) * 2 // 5
    waves = [range(start, min(start + (part + 3) // 4, part)) for start in range(0, part, (part + 3) // 4)]

    async def tell() -> None:
        for agent in agents:
            agent.notify()
        await scheduler.run_for(0.8)

    fleet.change(range(part), LEAVING)
    await tell()
    for wave in waves:
        fleet.change(wave, LEFT)
        await tell()
    for wave in waves[:-1]:
        fleet.change(wave, ACTIVE)
        await tell()
    fleet.replace(waves[-1], replaced)
    await tell()


async def play(program: Path, node_count: int, log_path: Path, seed: int = 1) -> Needs:
    """Plays two releases with a new configuration between them on a scheduler of its own."""
    disk_servers = DiskServers()
    await disk_servers.start()
    fleet = Fleet.of_size(node_count, disk_servers.address)
    agents = [Agent(fleet), Agent(fleet)]
    for agent in agents:
        await agent.start()
    with tempfile.TemporaryDirectory(prefix="knotvane-fleet-size-") as folder:
        scheduler = Scheduler(program, fleet, agents[0], Path(folder), log_path)
        try:
            await scheduler.start()
            clients = Clients(scheduler.address, node_count, seed)
            clients.start(CLIENT_CONNECTIONS, REQUESTS_PER_SECOND)
            await scheduler.run_for(3.0)
            await _play_release(fleet, agents, scheduler, 1)
            await scheduler.run_for(1.0)
            after_first = scheduler.memory_mb("VmRSS")
            scheduler.reload(fleet, agents[1])
            await agents[0].stop()
            await scheduler.run_for(1.0)
            await _play_release(fleet, agents, scheduler, 2)
            await scheduler.run_for(1.0)
            await clients.finish()
            needs = Needs(
                node_count,
                scheduler.cpu_seconds(),
                scheduler.memory_mb("VmHWM"),
                after_first,
                scheduler.memory_mb("VmRSS"),
                scheduler.max_descriptors,
                disk_servers.accepted,
                sum(agent.list_bytes for agent in agents),
                clients.answers,
            )
            await scheduler.stop()
            return needs
        finally:
            scheduler.kill()
            for stand_in in (agents[1], disk_servers):
                await stand_in.stop()


def _print(needs: Needs) -> None:
    for item in fields(needs):
        value = getattr(needs, item.name)
        print(f"  {item.name:30} {value:.2f}" if isinstance(value, float) else f"  {item.name:30} {value}")
    print(f"  {'share_served':30} {needs.answers.share_served:.3f}", flush=True)


def main() -> int:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("program", type=Path, help="knotvane-edge, built without sanitizers")
    parser.add_argument("--nodes", default="200,3200", help="sizes of the fleet (default: %(default)s)")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--log", type=Path, default=Path("/dev/null"), help="the scheduler's log")
    arguments = parser.parse_args()
    for nodes in arguments.nodes.split(","):
        print(f"{nodes} nodes", flush=True)
        _print(asyncio.run(play(arguments.program, int(nodes), arguments.log, arguments.seed)))
    return 0


if __name__ == "__main__":
    sys.exit(main())
