"""Stand-ins of the platform, by its protocol page: discovery, a disk server, clients; and the scheduler,
started with `run` of the deploy file."""
import json
import os
import socket
import threading
import time
import tomllib

from support.process import NotRun, ROOT, free_port

READ, WRITE, SCAN = "member-read", "record-write", "report-scan"

# Of izmir-campus: classes with their deadlines, effects and windows, the rules' figures.
SETTINGS = {
    "Balancers": 3, "Index": 0, "StepS": 0.002, "RegistryMode": "pushed",
    "Classes": [
        {"Name": READ, "TargetS": 0.15, "DeadlineS": 1.0, "Points": 2.0, "LateWorth": 0.2,
         "Effect": "idempotent", "Group": "all", "RepeatWindowS": 5.0, "Stream": False},
        {"Name": WRITE, "TargetS": 0.25, "DeadlineS": 1.5, "Points": 3.0, "LateWorth": 0.1,
         "Effect": "deduplicated", "Group": "cell", "RepeatWindowS": 2.5, "Stream": False},
        {"Name": SCAN, "TargetS": 1.0, "DeadlineS": 3.0, "Points": 1.0, "LateWorth": 0.2,
         "Effect": "idempotent", "Group": "all", "RepeatWindowS": 5.0, "Stream": False}],
    "Contracts": [
        {"Name": "standard", "Shares": 1.0, "UsualRate": 4.8, "Guaranteed": 0.0, "Price": 0.72,
         "CeilingRate": 0.0, "Burst": 0.0, "Slack": 0.0},
        {"Name": "premium", "Shares": 2.0, "UsualRate": 9.5, "Guaranteed": 11.0, "Price": 1.0,
         "CeilingRate": 0.0, "Burst": 0.0, "Slack": 0.0}],
    "Clients": {"MarksRetry": True},
    "Extra": {"ColdUnits": 72.0, "MeteringS": 0.0, "ShareWorth": 0.3, "SlotsTotal": 1,
              "SpareWorth": 0.05, "TellsElsewhere": False, "UnitMean": 2.07, "UnitsTop": 8,
              "Writes": [False, True, False]},
    "Permissions": {"Cancel": True, "ConnIdleS": 15.0, "ConnectTimeoutS": 0.25, "MaxAttempts": 3,
                    "MaxRetryAfterS": 2.0, "ParallelTries": False, "Peers": False, "Probes": False,
                    "RetryAfter": True},
    "Report": {"Columns": [], "How": "silent"},
    "Rules": {"AskWithinS": 10.0, "DrainGraceS": 0.25, "FallS": 2.0, "GraceToAnswerS": 0.05,
              "OverloadFactor": 4.0, "StartCapacity": 0.24, "WarmAfterS": 18.0},
    "Zones": ["hall-a", "hall-b", "hall-c"], "Locality": 0,
}
LONGEST_DEADLINE = max(entry["DeadlineS"] for entry in SETTINGS["Classes"])


def run_command():
    with open(os.path.join(ROOT, "deploy", "balancer.toml"), "rb") as deploy:
        return tomllib.load(deploy)["run"]


def read_message(connection, received=b""):
    """Returns head, body and what follows them; None where the stream ends before."""
    while b"\r\n\r\n" not in received:
        piece = connection.recv(65536)
        if not piece:
            return None
        received += piece
    head, received = received.split(b"\r\n\r\n", 1)
    head = head.decode("latin-1")
    length = int(header(head, "Content-Length") or 0)
    while len(received) < length:
        piece = connection.recv(65536)
        if not piece:
            return None
        received += piece
    return head, received[:length], received[length:]


def header(head, name):
    for line in head.split("\r\n")[1:]:
        key, _, value = line.partition(":")
        if key.lower() == name.lower():
            return value.strip()
    return None


def request(trace_id, workload, expires_in, body=None):
    lines = ["%s /%s HTTP/1.1" % ("GET" if body is None else "PUT", workload), "Host: origin.svc",
             "X-Trace-Id: " + trace_id, "X-Storage-Class: premium",
             "Cookie: object=7f3a9c21e0b4d655", "X-Expires-In: %.3f" % expires_in,
             "X-Extent: volume=00000003b4d60021,units=2,shard=0,hosts=1"]
    if body is not None:
        lines += ["Idempotency-Key: key-" + trace_id, "Content-Length: %d" % len(body)]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + (body or b"")


class Listener(threading.Thread):
    """Accepts connections and serves each on a thread of its own."""

    def __init__(self):
        super().__init__(daemon=True)
        self.socket = socket.create_server(("127.0.0.1", 0), backlog=128)
        self.address = "127.0.0.1:%d" % self.socket.getsockname()[1]
        self.start()

    def run(self):
        while True:
            connection, _ = self.socket.accept()
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self._serve_quietly, args=(connection,), daemon=True).start()

    def _serve_quietly(self, connection):
        with connection:
            try:
                self.serve(connection)
            except OSError:
                pass


class Discovery(Listener):
    """The agent: a watch gets the whole list, then an empty line every 2 s."""

    def __init__(self, instances):
        self.listing = json.dumps({"generation": 41, "reset": True, "instances": instances}) + "\n"
        super().__init__()

    def serve(self, connection):
        read_message(connection)
        connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                           b"Transfer-Encoding: chunked\r\n\r\n")
        line = self.listing
        while True:
            connection.sendall(b"%x\r\n%s\r\n" % (len(line), line.encode()))
            time.sleep(2)
            line = "\n"


class DiskServer(Listener):
    """Answers each request after `work` seconds with a body made for it."""

    def __init__(self, case, work):
        self.case, self.work = case, work
        super().__init__()

    def serve(self, connection):
        received = b""
        while message := read_message(connection, received):
            head, body, received = message
            trace_id = header(head, "X-Trace-Id")
            self.case.note("disk server: runs %s, %d bytes" % (trace_id, len(body)))
            time.sleep(self.work)
            answer = ("answer to " + trace_id).encode()
            connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(answer), answer))


def instance(address):
    return {"instanceId": "s-5be2a07c", "hostPort": address, "zone": "hall-a", "machineType": "node-2c",
            "cell": 0, "lifecycle": "active", "weight": 1.0, "startedAtMs": 0}


class Scheduler:
    """One scheduler with its configuration."""

    def __init__(self, case, discovery, instances):
        self.case, self.port = case, free_port()
        config = {"name": "n0", "listen": "127.0.0.1:%d" % self.port, "discovery": discovery,
                  "seed": "8c1f30d27a5be964", "peers": [],
                  "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 256},
                  "known": {"generation": 41, "reset": True, "instances": instances},
                  "settings": SETTINGS}
        path = case.file("config.json", json.dumps(config))
        variables = dict(os.environ, LB_CONFIG=path, LB_NAME="n0", LB_LISTEN=config["listen"],
                         LB_DISCOVERY=discovery)
        self.process = case.start("scheduler", run_command(), env=variables)

    def connect(self):
        connection = socket.create_connection(("127.0.0.1", self.port), 5)
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return connection

    def wait_until_ready(self):
        for _ in range(300):
            try:
                with self.connect() as connection:
                    connection.sendall(b"GET /healthz HTTP/1.1\r\nHost: origin.svc\r\n\r\n")
                    message = read_message(connection)
                    if message and message[0].split()[1] == "200":
                        return self.case.note("the scheduler is ready")
            except OSError:
                pass
            time.sleep(0.1)
        raise NotRun("the scheduler was not ready within 30 s")
