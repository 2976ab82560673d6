"""Stand-ins of the users' platform: its discovery, its disk servers, its configuration and its clients' requests."""

import json
import socket
import socketserver
import threading
import time
import zlib

from kit import LOOPBACK

ZONES = ["hall-a", "hall-b", "hall-c"]


def classes() -> list:
    """The workloads of izmir-campus: BRIEF, "Workloads"."""

    def one(name, target, deadline, effect, group, points, late):
        return {
            "Name": name,
            "TargetS": target,
            "DeadlineS": deadline,
            "Effect": effect,
            "Group": group,
            "RepeatWindowS": 2.5,
            "Points": points,
            "LateWorth": late,
            "Stream": False,
        }

    return [
        one("member-read", 0.15, 1.0, "idempotent", "all", 2.0, 0.2),
        one("record-write", 0.25, 1.5, "deduplicated", "cell", 3.0, 0.1),
        one("report-scan", 1.0, 3.0, "idempotent", "all", 1.0, 0.2),
    ]


def settings() -> dict:
    plan = {"Burst": 0.0, "CeilingRate": 0.0, "Slack": 0.0}
    return {
        "Balancers": 1,
        "Classes": classes(),
        "Clients": {"MarksRetry": True},
        "Contracts": [
            {**plan, "Name": "standard", "Price": 0.72, "Shares": 1.0, "Guaranteed": 0.0, "UsualRate": 4.8},
            {**plan, "Name": "premium", "Price": 1.0, "Shares": 2.0, "Guaranteed": 11.0, "UsualRate": 9.5},
        ],
        "Extra": {
            "ColdUnits": 72.0,
            "MeteringS": 0.0,
            "ShareWorth": 0.3,
            "SlotsTotal": 2,
            "SpareWorth": 0.05,
            "TellsElsewhere": False,
            "UnitMean": 2.07,
            "UnitsTop": 8,
            "Writes": [False, True, False],
        },
        "Family": "stores",
        "Index": 0,
        "Kinds": ["node-2c"],
        "Layers": ["store-fleet"],
        "Locality": 0,
        "Permissions": {
            "Cancel": True,
            "ConnIdleS": 15.0,
            "ConnectTimeoutS": 0.25,
            "MaxAttempts": 3,
            "MaxRetryAfterS": 2.0,
            "ParallelTries": False,
            "Peers": False,
            "Probes": False,
            "RetryAfter": True,
            "StreamsPerConn": 1,
        },
        "RegistryMode": "pushed",
        "Report": {"Columns": [], "How": "silent"},
        "Rules": {
            "AskWithinS": 10.0,
            "DrainGraceS": 0.25,
            "FallS": 2.0,
            "GraceToAnswerS": 0.05,
            "OverloadFactor": 4.0,
            "StartCapacity": 0.24,
            "WarmAfterS": 18.0,
        },
        "Stage": 0,
        "StepS": 0.002,
        "Weights": "nominal",
        "Zones": ZONES,
    }


LIMITS = {"cores": 1.0, "memory_mb": 192, "sockets": 1024}


def configuration(listen: str, discovery: str, known: dict, limits: dict) -> str:
    return json.dumps(
        {
            "name": "n0",
            "listen": listen,
            "discovery": discovery,
            "seed": "8c1f30d27a5be964",
            "limits": limits,
            "known": known,
            "settings": settings(),
        }
    )


def instance(number: int, address: str, cell: int, lifecycle: str = "active") -> dict:
    return {
        "instanceId": f"s-{number:08x}",
        "hostPort": address,
        "zone": ZONES[cell % len(ZONES)],
        "machineType": "node-2c",
        "cell": cell,
        "lifecycle": lifecycle,
        "weight": 1.0,
        "startedAtMs": 0,
    }


class _Server(socketserver.ThreadingTCPServer):
    allow_reuse_address = True
    daemon_threads = True
    request_queue_size = 128


def _serve(handle, port: int = 0) -> str:
    """Calls handle(socket) in a thread of its own for each connection; returns the address."""

    class Handler(socketserver.BaseRequestHandler):
        def handle(self):
            self.request.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            try:
                handle(self.request)
            except OSError:
                pass

    server = _Server((LOOPBACK, port), Handler)
    threading.Thread(target=server.serve_forever, daemon=True).start()
    return f"{LOOPBACK}:{server.server_address[1]}"


def read_message(source: socket.socket, rest: bytes = b"") -> tuple[str, dict, bytes, bytes]:
    """Reads an HTTP message with a Content-Length: its first line, headers, body and what came behind it."""
    while b"\r\n\r\n" not in rest:
        part = source.recv(65536)
        if not part:
            raise ConnectionError("the other side has closed")
        rest += part
    head, rest = rest.split(b"\r\n\r\n", 1)
    first, *lines = head.decode("latin-1").split("\r\n")
    headers = {name.lower(): value.strip() for name, _, value in (line.partition(":") for line in lines)}
    length = int(headers.get("content-length", "0"))
    while len(rest) < length:
        part = source.recv(65536)
        if not part:
            raise ConnectionError("the other side has closed in the middle of a message")
        rest += part
    return first, headers, rest[:length], rest[length:]


class Discovery:
    """An agent that tells one list and, every 2 s, an empty line."""

    def __init__(self, instances: list) -> None:
        self.list = {"generation": 1, "reset": True, "instances": instances}
        self.address = _serve(self._handle)

    def _handle(self, client: socket.socket) -> None:
        first, _headers, _body, _rest = read_message(client)
        text = (json.dumps(self.list) + "\n").encode()
        if "stream=1" not in first:
            client.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(text) + text)
            return
        client.sendall(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        while True:
            client.sendall(b"%x\r\n" % len(text) + text + b"\r\n")
            text = b"\n"
            time.sleep(2)


class DiskServer:
    """Answers each request after its work with a body of its own; counts what it ran by id."""

    def __init__(self, case, work_s: float) -> None:
        self.case = case
        self.work_s = work_s
        self.ran: dict[str, int] = {}
        self.lock = threading.Lock()
        self.address = _serve(self._handle)

    def _handle(self, client: socket.socket) -> None:
        rest = b""
        while True:
            first, headers, body, rest = read_message(client, rest)
            trace_id = headers.get("x-trace-id", "")
            time.sleep(self.work_s)
            with self.lock:
                self.ran[trace_id] = self.ran.get(trace_id, 0) + 1
            self.case.note(f"disk server runs {trace_id}: {first}, {len(body)} bytes")
            answer = f"done {trace_id}".encode()
            client.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(answer) + answer)


def request(trace_id: str, expires_in: float, body: bytes = b"", name: str = "", cell: int = 0) -> bytes:
    """A client's request: a write with a body, a read without one."""
    name = name or ("record-write" if body else "member-read")
    lines = [
        f"{'PUT' if body else 'GET'} /{name} HTTP/1.1",
        "Host: origin.svc",
        f"X-Trace-Id: {trace_id}",
        "X-Storage-Class: premium",
        f"Cookie: object={zlib.crc32(trace_id.encode()):016x}",
        f"X-Expires-In: {expires_in:.3f}",
        f"X-Extent: volume=00000003b4d60021,units=1,shard={cell},hosts=1",
    ]
    if body:
        lines += [f"Idempotency-Key: k-{trace_id}", f"Content-Length: {len(body)}"]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def start_scheduler(case, disk_servers: list, limits: dict | None = None) -> tuple:
    """Starts the scheduler as `run` of the deploy file does; returns its process and port once it is ready."""
    from kit import free_port, wait_for

    instances = [instance(number, disk.address, number) for number, disk in enumerate(disk_servers)]
    discovery = Discovery(instances)
    port = free_port()
    config = case.dir / "config.json"
    known = {"generation": 1, "reset": True, "instances": instances}
    config.write_text(configuration(f"{LOOPBACK}:{port}", discovery.address, known, limits or LIMITS))
    process = case.start(
        "scheduler",
        ["/bin/sh", "-c", deploy_run()],
        {"LB_CONFIG": str(config), "LB_NAME": "n0", "LB_LISTEN": f"{LOOPBACK}:{port}",
         "LB_DISCOVERY": discovery.address},
    )  # fmt: skip

    def ready():
        try:
            with socket.create_connection((LOOPBACK, port), timeout=1) as probe:
                probe.sendall(b"GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n")
                return read_message(probe)[0].split()[1] == "200"
        except OSError:
            return False

    wait_for("the scheduler to be ready", ready, 30)
    return process, port


def deploy_run() -> str:
    """The command `run` of deploy/balancer.toml."""
    from kit import ROOT

    for line in (ROOT / "deploy" / "balancer.toml").read_text(encoding="utf-8").splitlines():
        if line.startswith("run ="):
            return line.split('"')[1]
    raise OSError("deploy/balancer.toml has no line run")
