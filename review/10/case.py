"""Some answers never end: does the scheduler stay within the memory that the platform gives it?"""

import socket
import threading
import time
from pathlib import Path

from kit import LOOPBACK, NotRun, program, run
from platform_ import DiskServer, read_message, request, start_scheduler

MEMORY_MB = 32
SERVERS = 10
CLIENTS = 115
PLAYED_S = 20
SPOILT_IN = 10  # one answer in this many never ends
WORK_S = 0.02
PIECE = 900_000


class SpoiltDiskServer(DiskServer):
    """Every tenth answer, by the requests' own numbers, never ends: 0.9 MB at once, then a byte every 0.1 s."""

    def spoils(self, trace_id):
        return self.case.trouble and int(trace_id.rpartition("n")[2]) % SPOILT_IN == 0

    def _handle(self, client):
        rest = b""
        while True:
            _first, headers, _body, rest = read_message(client, rest)
            trace_id = headers.get("x-trace-id", "")
            time.sleep(WORK_S)
            if not self.spoils(trace_id):
                answer = f"done {trace_id}".encode()
                client.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(answer) + answer)
                continue
            self.case.note(f"disk server answers {trace_id} without an end")
            client.sendall(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            client.sendall(b"%x\r\n" % PIECE + bytes(PIECE) + b"\r\n")
            while True:
                time.sleep(0.1)
                client.sendall(b"1\r\nx\r\n")


class Client(threading.Thread):
    """Reads on one connection, one request at a time: member-read and report-scan in turn."""

    def __init__(self, number, port, ends):
        super().__init__(daemon=True)
        self.number, self.port, self.ends = number, port, ends
        self.statuses = {}

    def run(self):
        connection = None
        sent = self.number
        while time.monotonic() < self.ends:
            sent += 1
            name, seconds = ("member-read", 1.0) if sent % 2 else ("report-scan", 3.0)
            try:
                if connection is None:
                    connection = socket.create_connection((LOOPBACK, self.port), timeout=6)
                connection.sendall(
                    request(f"c{self.number}n{sent}", seconds, name=name, cell=(self.number + sent) % SERVERS)
                )
                first, headers, _body, _rest = read_message(connection)
                status = first.split()[1]
                if headers.get("connection") == "close":
                    connection = None
            except OSError as ended:
                status, connection = type(ended).__name__, None
            self.statuses[status] = self.statuses.get(status, 0) + 1
            time.sleep(0.62)


def resident_kib(pid):
    for line in Path(f"/proc/{pid}/status").read_text(encoding="utf-8").splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1])
    return 0


def play(case):
    program("knotvane-edge")
    servers = [SpoiltDiskServer(case, WORK_S) for _ in range(SERVERS)]
    process, port = start_scheduler(case, servers, {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": 1024})
    ends = time.monotonic() + PLAYED_S
    clients = [Client(number, port, ends) for number in range(CLIENTS)]
    for client in clients:
        client.start()
    peak = 0
    over_since = None
    over_s = 0.0
    while time.monotonic() < ends and process.poll() is None:
        kib = resident_kib(process.pid)
        if kib > peak:
            peak = kib
            case.note(f"resident memory of the scheduler: {kib} KiB")
        over = kib * 1024 > MEMORY_MB * 1_048_576
        now = time.monotonic()
        if over and over_since is not None:
            over_s += now - over_since
        over_since = now if over else None
        time.sleep(0.05)
    for client in clients:
        client.join(6)
    statuses = {}
    for client in clients:
        for status, count in client.statuses.items():
            statuses[status] = statuses.get(status, 0) + count
    case.note(f"answers by status: {statuses}")
    case.note(f"peak: {peak} KiB of {MEMORY_MB * 1024}; over the limit for {over_s:.1f} s of {PLAYED_S}")
    if process.poll() is not None:
        return [f"the scheduler ended by itself, status {process.returncode}"]
    if not statuses.get("200"):
        raise NotRun("no request was served")
    if not over_s:
        return []
    return [
        f"the scheduler's memory passes limits.memory_mb, at which the platform kills it: {peak} KiB of "
        f"{MEMORY_MB * 1024} KiB, for {over_s:.1f} s"
    ]


run(__file__, play)
