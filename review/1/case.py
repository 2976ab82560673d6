"""Answers without a length, some of them reset on the way: no client may be served a part of an answer
as though it were the whole."""
import os
import socket
import struct
import sys
import threading

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
import support.platform as platform  # noqa: E402
import support.process as process  # noqa: E402

CLIENTS = 4
REQUESTS_EACH = 500
# One answer of so many is reset on the way.
RESET_EVERY = 4


def whole_answer(trace_id):
    return ("a line of the answer to %s\n" % trace_id).encode() * 40


class DiskServer(platform.Listener):
    """Answers without a length: the end of its connection ends the answer. With TROUBLE it resets some
    connections after half of the answer."""

    def __init__(self, case):
        self.case, self.lock, self.answers, self.resets = case, threading.Lock(), 0, 0
        super().__init__()

    def serve(self, connection):
        message = platform.read_message(connection)
        if message is None:
            return
        trace_id = platform.header(message[0], "X-Trace-Id")
        with self.lock:
            self.answers += 1
            reset = process.TROUBLE and self.answers % RESET_EVERY == 0
            self.resets += reset
        answer = whole_answer(trace_id)
        head = b"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nConnection: close\r\n\r\n"
        if not reset:
            self.case.note("disk server: answers %s, %d bytes, and closes in order" % (trace_id, len(answer)))
            connection.sendall(head + answer)
            return
        half = len(answer) // 2
        self.case.note("disk server: %d of %d bytes for %s, then a reset" % (half, len(answer), trace_id))
        connection.sendall(head + answer[:half])
        # Closing then sends a reset instead of an end in order.
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))


class Client(threading.Thread):
    def __init__(self, case, scheduler, number):
        super().__init__(daemon=True)
        self.case, self.scheduler, self.number = case, scheduler, number
        self.answered, self.cut = 0, []

    def run(self):
        with self.scheduler.connect() as connection:
            for count in range(REQUESTS_EACH):
                trace_id = "%016x" % (0x9b1f03aa00000000 + (self.number << 16) + count)
                connection.sendall(platform.request(trace_id, platform.WRITE, 1.5, b"x" * 200))
                message = platform.read_message(connection)
                if message is None:
                    return self.case.note("client: its connection was ended")
                self.answered += 1
                status, answer = message[0].split()[1], message[1]
                part = status == "200" and answer != whole_answer(trace_id)
                self.case.note("client: %s: %s, %d bytes%s" %
                               (trace_id, status, len(answer), ", A PART SERVED AS THE WHOLE" if part else ""))
                if part:
                    self.cut.append(trace_id)


def body(case):
    process.require_program("knotvane-edge")
    server = DiskServer(case)
    instances = [platform.instance(server.address)]
    scheduler = platform.Scheduler(case, platform.Discovery(instances).address, instances)
    scheduler.wait_until_ready()
    clients = [Client(case, scheduler, number) for number in range(CLIENTS)]
    for client in clients:
        client.start()
    for client in clients:
        client.join()
    answered = sum(client.answered for client in clients)
    cut = sum(len(client.cut) for client in clients)
    case.note("%d answers, %d reset on the way; served with 200 and a part of the answer: %d" %
              (answered, server.resets, cut))
    if answered < CLIENTS * REQUESTS_EACH:
        raise process.NotRun("a client's connection was ended")
    return process.BROKEN if cut else process.HELD


process.run(FOLDER, body, 100)
