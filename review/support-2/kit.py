"""What the cases 6 to 10 share: processes, a record, an NBD client and the settings of a small gateway.

Only Python's standard library is used. Every address is a loopback address.
"""

import os
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import traceback
from pathlib import Path

from reaper import start_of

ROOT = Path(__file__).resolve().parents[2]
BUILD = ROOT / "build"
LOOPBACK = "127.0.0.1"

BROKEN, HELD, NOT_RUN = 1, 0, 2
LIMIT_S = 115


class NotRun(Exception):
    """The case can't run or shows nothing; says why."""


class Lost(Exception):
    """A connection ended."""


class Case:
    """The temporary folder, the record and the processes of one run. Ends all processes that it started."""

    def __init__(self, folder: str) -> None:
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.began = time.monotonic()
        self.dir = Path(tempfile.mkdtemp(prefix="knotvane-review-"))
        self.record = open(Path(folder) / "record.txt", "w", encoding="utf-8")
        self.processes: list[subprocess.Popen] = []
        reaper = Path(__file__).with_name("reaper.py")
        self.reaper = subprocess.Popen(
            [sys.executable, reaper, self.dir], stdin=subprocess.PIPE, text=True, start_new_session=True
        )
        self.note(f"case {Path(folder).name}, TROUBLE={int(self.trouble)}")

    def note(self, text: str) -> None:
        self.record.write(f"{time.monotonic() - self.began:8.3f} {text}\n")
        self.record.flush()

    def start(self, name: str, command: list, env: dict | None = None, folder: str = "") -> subprocess.Popen:
        log = open(self.dir / f"{name}.log", "a", encoding="utf-8")
        process = subprocess.Popen(
            [str(part) for part in command],
            cwd=folder or ROOT,
            env={**os.environ, **(env or {})},
            stdin=subprocess.DEVNULL,
            stdout=log,
            stderr=log,
        )
        log.close()
        self.processes.append(process)
        self.reaper.stdin.write(f"{process.pid} {start_of(process.pid)}\n")
        self.reaper.stdin.flush()
        self.note(f"start {name}: {' '.join(str(part) for part in command)} (process {process.pid})")
        return process

    def kill(self, name: str, process: subprocess.Popen) -> None:
        self.note(f"SIGKILL to {name} (process {process.pid})")
        process.kill()
        process.wait()

    def send_signal(self, name: str, process: subprocess.Popen, number: int) -> None:
        self.note(f"{signal.Signals(number).name} to {name} (process {process.pid})")
        process.send_signal(number)

    def log_text(self, name: str) -> str:
        path = self.dir / f"{name}.log"
        return path.read_text(encoding="utf-8", errors="replace") if path.exists() else ""

    def end(self) -> None:
        for process in self.processes:
            if process.poll() is None:
                process.kill()
                process.wait()
        self.reaper.stdin.close()
        self.reaper.wait()


def run(file: str, play) -> None:
    """Plays a case: play(case) returns the breaches found. Exits with 1, 0 or 2."""

    def stop(number, _frame):
        raise NotRun(f"ended by signal {number} after {LIMIT_S} s or from outside")

    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGALRM):
        signal.signal(number, stop)
    signal.alarm(LIMIT_S)
    case = Case(str(Path(file).resolve().parent))
    code = NOT_RUN
    try:
        breaches = play(case)
        for breach in breaches:
            case.note(f"BREACH: {breach}")
        code = BROKEN if breaches else HELD
    except (NotRun, OSError, Lost, struct.error) as error:
        case.note(f"NOT RUN: {type(error).__name__}: {error}")
    except Exception:  # pylint: disable=broad-except
        case.note(f"NOT RUN, the case itself is at fault: {traceback.format_exc()}")
    finally:
        signal.alarm(0)
        for number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(number, signal.SIG_IGN)
        case.end()
        case.note({BROKEN: "the rule was broken", HELD: "the rule held", NOT_RUN: "could not run"}[code])
    sys.exit(code)


def program(name: str) -> Path:
    path = BUILD / name
    if not path.exists():
        raise NotRun(f"{path} is not built")
    return path


_given_ports: set[int] = set()


def free_port() -> int:
    while True:
        with socket.socket() as probe:
            probe.bind((LOOPBACK, 0))
            port = probe.getsockname()[1]
        if port not in _given_ports:
            _given_ports.add(port)
            return port


def wait_for(what: str, condition, seconds: float = 10) -> None:
    ends = time.monotonic() + seconds
    while not condition():
        if time.monotonic() > ends:
            raise NotRun(f"waited {seconds} s for {what}")
        time.sleep(0.01)


# ---- NBD, fixed newstyle with simple replies.

OPTION_MAGIC = 0x49484156454F5054
OPTION_REPLY_MAGIC = 0x3E889045565A9
REQUEST_MAGIC = 0x25609513
REPLY_MAGIC = 0x67446698
OPTION_GO, REPLY_ACK = 7, 1
READ, WRITE, DISCONNECT, FLUSH = 0, 1, 2, 3
ERRORS = {0: "ok", 5: "EIO", 12: "ENOMEM", 22: "EINVAL", 28: "ENOSPC", 108: "ESHUTDOWN"}


class Nbd:
    """One connection to an edge; one request at a time, or several with send and receive."""

    def __init__(self, port: int, export: str, seconds: float = 10) -> None:
        self.socket = socket.create_connection((LOOPBACK, port), timeout=seconds)
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.cookie = 0
        magic, options = struct.unpack(">8sQ", self.take(16))
        if magic != b"NBDMAGIC" or options != OPTION_MAGIC:
            raise NotRun("not an NBD server")
        (self.handshake_flags,) = struct.unpack(">H", self.take(2))
        name = export.encode()
        data = struct.pack(">I", len(name)) + name + struct.pack(">H", 0)
        self.socket.sendall(struct.pack(">IQII", 3, OPTION_MAGIC, OPTION_GO, len(data)) + data)
        self.flags = 0
        while True:
            _magic, _option, kind, length = struct.unpack(">QIII", self.take(20))
            payload = self.take(length)
            if kind & 0x80000000:
                raise Lost(f"the export {export} was refused: {kind:#x} {payload!r}")
            if kind == REPLY_ACK:
                return
            if payload[:2] == b"\0\0":
                self.flags = struct.unpack(">QH", payload[2:12])[1]

    def take(self, length: int) -> bytes:
        parts = b""
        while len(parts) < length:
            part = self.socket.recv(length - len(parts))
            if not part:
                raise Lost("the server closed the connection")
            parts += part
        return parts

    def send(self, command: int, offset: int = 0, length: int = 0, data: bytes = b"") -> int:
        self.cookie += 1
        length = len(data) if data else length
        self.socket.sendall(
            struct.pack(">IHHQQI", REQUEST_MAGIC, 0, command, self.cookie, offset, length) + data
        )
        return self.cookie

    def receive(self, length: int = 0) -> tuple[int, int, bytes]:
        """The next answer: its error, its cookie and, for a read without an error, its data."""
        magic, error, cookie = struct.unpack(">IIQ", self.take(16))
        if magic != REPLY_MAGIC:
            raise Lost("the answer does not begin with the magic of a simple reply")
        return error, cookie, self.take(length) if length and not error else b""

    def read(self, offset: int, length: int) -> tuple[int, bytes]:
        self.send(READ, offset, length)
        error, _cookie, data = self.receive(length)
        return error, data

    def write(self, offset: int, data: bytes) -> int:
        self.send(WRITE, offset, data=data)
        return self.receive()[0]

    def flush(self) -> int:
        self.send(FLUSH)
        return self.receive()[0]

    def close(self) -> None:
        self.socket.close()


def connect(port: int, export: str, seconds: float = 10) -> Nbd:
    """Connects as soon as the edge serves the export."""
    ends = time.monotonic() + seconds
    while True:
        try:
            return Nbd(port, export, seconds)
        except (OSError, Lost) as error:
            if time.monotonic() > ends:
                raise NotRun(f"no export {export} within {seconds} s: {error}") from error
        time.sleep(0.005)


# ---- Settings of a small gateway.

# The workloads of izmir-campus: BRIEF, "Workloads".
WORKLOADS = """
[workload {read_name}]
command = read
due = {read_due}
client_timeout = {read_timeout}
value = 2
late_part = 0.1

[workload record-write]
command = write
due = {write_due}
client_timeout = {write_timeout}
value = 3
late_part = 0.1
repeat = numbered
window = 2500ms
key_rest = 2600ms

[workload erase]
command = zero
due = 1s
client_timeout = 3s
repeat = numbered
window = 2500ms
key_rest = 2600ms

[workload flush]
command = flush
due = 2s
client_timeout = 5s

[workload map]
command = status
due = 1s
client_timeout = 3s

[shots]
most = 3
parallel = no
call_off = yes
longest_wait = 2s
"""

PLAN_AND_VOLUME = """
[plan standard]
weight = 1

[volume members]
size = 64MiB
plan = standard
"""


def edge_settings(
    port: int,
    nodes: str = "",
    planner: str = "",
    plan_file: str = "",
    unit: str = "64KiB",
    shards: int = 1,
    scans: bool = False,
    write_due: str = "250ms",
    write_timeout: str = "1500ms",
) -> str:
    """The settings of the one edge. Reads are of the workload member-read, or with `scans` of report-scan."""
    source = f"nodes = {nodes}" if nodes else f"planner = {planner}\nplan_file = {plan_file}"
    workloads = WORKLOADS.format(
        read_name="report-scan" if scans else "member-read",
        read_due="1s" if scans else "150ms",
        read_timeout="3s" if scans else "1s",
        write_due=write_due, write_timeout=write_timeout
    )
    return (
        f"[edge]\nid = 0\nedges = 1\nlisten = {LOOPBACK}:{port}\n{source}\n"
        f"\n[layout]\nextent = 256KiB\nspan = 64KiB\nunit = {unit}\nshards = {shards}\n"
        + ("" if planner else PLAN_AND_VOLUME)
        + workloads
    )


def node_list(addresses: list) -> str:
    """A list of nodes: node N holds shard N - 1."""
    sections = "".join(
        f"[node {number}]\naddress = {address}\nshard = {number - 1}\nzone = 0\nstate = ready\nstarted = 0\n\n"
        for number, address in enumerate(addresses, 1)
    )
    return f"[list]\nversion = 1\nnodes = {len(addresses)}\n\n{sections}[end]\nversion = 1\n"


def node_settings(case: Case, number: int, address: str, unit_time: str) -> str:
    """The settings of a node of 2 cores that has run for an hour; its store is kept in the case's folder."""
    return (
        f"[node]\nid = {number}\nshard = {number - 1}\nlisten = {address}\nstore = {case.dir}/node-{number}.store\n"
        f"sync = no\nage = 3600s\n\n[speed]\nunit_time = {unit_time}\ncores = 2\nslots = 4\nroom = 64\n"
    )
