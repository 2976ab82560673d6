"""A planned restart while clients write their requests slowly: a request begun before the end has to be answered."""

import signal
import socket
import threading
import time

from kit import LOOPBACK, NotRun, program, run
from platform_ import DiskServer, read_message, request, start_scheduler

CLIENTS = 20
ORDINARY = 40
PIECES = 6
WRITE_S = 0.5  # from a request's first byte to its last
EXPIRES_S = 1.5
KILL_AFTER_S = 3.7  # the longest deadline, 3 s, and 0.7 s


class Client(threading.Thread):
    """Keeps one connection and sends one request after the other on it, each in pieces."""

    def __init__(self, case, number, port, begin_at):
        super().__init__(daemon=True)
        self.case, self.number, self.port, self.begin_at = case, number, port, begin_at
        self.results = []

    def run(self):
        connection = socket.create_connection((LOOPBACK, self.port), timeout=5)
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        # A short request about every second keeps the connection in use.
        short = 0
        while short == 0 or time.monotonic() < self.begin_at - 1.3:
            time.sleep(1.0 if short else 0.0)
            connection.sendall(request(f"{self.number:02x}short{short}", 1.0))
            status = read_message(connection)[0].split()[1]
            self.case.note(f"client {self.number}: short request {short} answered {status}")
            short += 1
        time.sleep(max(0.0, self.begin_at - time.monotonic()))
        if self.closed(connection):
            self.results.append(("closed before", 0, 0, "the connection was closed between requests"))
            return
        trace_id = f"{self.number:02x}slow{time.monotonic_ns():x}"
        message = request(trace_id, EXPIRES_S, b"w" * 600)
        size = len(message) // PIECES + 1
        began = time.monotonic()
        whole = 0.0
        try:
            for at in range(0, len(message), size):
                if at:
                    time.sleep(WRITE_S / (PIECES - 1))
                connection.sendall(message[at : at + size])
            whole = time.monotonic()
            status = read_message(connection)[0].split()[1]
        except OSError as ended:
            status = f"none, {type(ended).__name__}: {ended}"
        self.results.append((trace_id, began, whole, status))
        self.case.note(f"client {self.number}: {trace_id} written in {PIECES} pieces: answer {status}")
        connection.close()

    @staticmethod
    def closed(connection):
        connection.setblocking(False)
        try:
            return connection.recv(1, socket.MSG_PEEK) == b""
        except BlockingIOError:
            return False
        finally:
            connection.settimeout(5)


class Ordinary(threading.Thread):
    """Sends short requests in one piece, one after the other, until its connection is closed."""

    def __init__(self, number, port, ends_at):
        super().__init__(daemon=True)
        self.number, self.port, self.ends_at = number, port, ends_at
        self.answered = 0

    def run(self):
        try:
            connection = socket.create_connection((LOOPBACK, self.port), timeout=5)
            while time.monotonic() < self.ends_at:
                connection.sendall(request(f"{self.number:02x}ordinary{self.answered}", 1.0))
                read_message(connection)
                self.answered += 1
                time.sleep(0.5)
        except OSError:
            pass


def play(case):
    program("knotvane-edge")
    process, port = start_scheduler(case, [DiskServer(case, 0.003)])
    stop_at = time.monotonic() + 1
    clients = [
        Client(case, number, port, stop_at + 2.4 + number * 0.04)
        for number in range(CLIENTS)
    ]
    ordinary = [Ordinary(number, port, stop_at + KILL_AFTER_S) for number in range(ORDINARY)]
    for client in clients + ordinary:
        client.start()
    time.sleep(max(0.0, stop_at - time.monotonic()))
    if case.trouble:
        case.send_signal("scheduler", process, signal.SIGTERM)
    ended_at = None
    while time.monotonic() < stop_at + KILL_AFTER_S:
        if ended_at is None and process.poll() is not None:
            ended_at = time.monotonic()
            case.note(f"the scheduler ended {ended_at - stop_at:.3f} s after SIGTERM, code {process.returncode}")
        time.sleep(0.005)
    for client in clients:
        client.join(6)
    breaches = []
    answered = 0
    for client in clients:
        for trace_id, began, whole, status in client.results:
            answered += status.isdigit()
            if not whole or status.isdigit() or (ended_at and whole > ended_at - 0.05):
                continue
            breaches.append(
                f"client {client.number}: {trace_id}: its first piece was written {began - stop_at:.3f} s and its last "
                f"one {whole - stop_at:.3f} s after the stop, before the scheduler ended, and it got no answer ({status})"
            )
    if not answered:
        raise NotRun("no slow request was answered")
    case.note(f"slow requests answered: {answered}; ordinary ones: {sum(one.answered for one in ordinary)}")
    return breaches


run(__file__, play)
