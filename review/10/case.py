"""A planned restart: SIGTERM reaches an edge that has taken requests. Each has to get its final answer."""

import signal
import struct
import time

from kit import (
    ERRORS,
    LOOPBACK,
    READ,
    WRITE,
    Lost,
    NotRun,
    connect,
    edge_settings,
    free_port,
    node_list,
    node_settings,
    program,
    run,
)

ROUNDS = 3
EXTENT = 256 << 10
READS = 12
BLOCK = 16 << 10  # a unit


def play(case):
    node_address = f"{LOOPBACK}:{free_port()}"
    edge_port = free_port()
    (case.dir / "node.ini").write_text(node_settings(case, 1, node_address, "16ms"))
    (case.dir / "nodes.ini").write_text(node_list([node_address]))
    (case.dir / "edge.ini").write_text(
        edge_settings(edge_port, nodes=str(case.dir / "nodes.ini"), unit="16KiB", scans=True)
    )
    edge_command = [program("knotvane-edge"), "--config", case.dir / "edge.ini"]
    case.start("node", [program("knotvane-node"), "--config", case.dir / "node.ini"])
    edge = case.start("edge", edge_command)

    breaches = []
    taken = 0
    for number in range(ROUNDS):
        client = connect(edge_port, "members")
        error, _data = client.read(0, BLOCK)
        case.note(f"round {number}: a first read is answered: {ERRORS.get(error, error)}")
        sent = {}
        for index in range(READS):
            sent[client.send(READ, index * BLOCK, BLOCK)] = f"read at {index * BLOCK}"
        write = client.send(WRITE, EXTENT * (4 + number), data=b"1" * BLOCK)
        sent[write] = "write"
        case.note(f"client sends {len(sent)} requests: {READS} reads and a write, 16 KiB each")
        time.sleep(0.02)
        sigterm_at = time.monotonic()
        if case.trouble:
            case.send_signal("edge", edge, signal.SIGTERM)
        lost = ""
        while sent:
            try:
                error, cookie, _data = receive(client, write, BLOCK)
            except (Lost, OSError) as ended:
                lost = str(ended)
                break
            taken += 1
            case.note(f"answer to the {sent.pop(cookie)}: {ERRORS.get(error, error)}")
        client.close()
        if case.trouble:
            code = edge.wait(timeout=10)
            case.note(f"the edge ended {time.monotonic() - sigterm_at:.3f} s after SIGTERM with code {code}")
        if sent:
            case.note(f"the connection ended ({lost}); without an answer: {', '.join(sent.values())}")
            if case.trouble and time.monotonic() - sigterm_at < 3.7:
                breaches.append(
                    f"round {number}: {len(sent)} requests that the edge had read got no answer: "
                    "it ended at SIGTERM, before their client timeouts and before any SIGKILL"
                )
        if case.trouble:
            edge = case.start("edge", edge_command)
    if not taken and not breaches:
        raise NotRun("no request was answered")
    return breaches


def receive(client, write_cookie, length):
    """The next answer; those to reads without an error carry data."""
    _magic, error, cookie = struct.unpack(">IIQ", client.take(16))
    data = client.take(length) if not error and cookie != write_cookie else b""
    return error, cookie, data


run(__file__, play)
