"""Settings of a small deployment: one edge, one node, times of izmir-campus."""
import socket

import support.nbd as nbd
from support.process import free_port, wait_for

EDGE = """[edge]
id = 0
edges = 1
listen = 127.0.0.1:{port}
nodes = {nodes}

[layout]
extent = 1MiB
span = 128KiB
unit = 16KiB
shards = 1

[plan standard]
weight = 1
usual = 200

[volume members]
size = 16MiB
plan = standard

[workload member-read]
command = read
due = 150ms
client_timeout = 1s
value = 2

[workload record-write]
command = write
due = 250ms
client_timeout = 1500ms
value = 3
repeat = numbered
window = 2500ms
key_rest = 2600ms

[workload erase]
command = zero
due = 1s
client_timeout = 1500ms
repeat = numbered
window = 2500ms
key_rest = 2600ms

[workload flush]
command = flush
due = 1s
client_timeout = 3s

[workload map]
command = status
due = 1s
client_timeout = 3s

[shots]
most = 3
call_off = yes
longest_wait = 2s
"""

NODES = """[list]
version = 1
nodes = 1

[node 1]
address = 127.0.0.1:{port}
shard = 0
zone = 0
state = ready
started = 0

[end]
version = 1
"""


class Edge:
    """The project's edge, with one storage node at a fixed port."""

    def __init__(self, case):
        self.case = case
        self.port, self.node_port = free_port(), free_port()
        nodes = case.file("nodes.ini", NODES.format(port=self.node_port))
        self.settings = case.file("edge.ini", EDGE.format(port=self.port, nodes=nodes))
        self.process = None

    def wait_for_node(self):
        wait_for("the node",
                 lambda: socket.create_connection(("127.0.0.1", self.node_port), 5)).close()

    def start(self):
        self.process = self.case.start("edge", "exec build/knotvane-edge --config " + self.settings)

    def kill(self):
        self.case.kill("edge", self.process)

    def connect(self):
        client = wait_for("the edge", lambda: nbd.Client(self.port, "members"))
        self.case.note("client: connected, export members")
        return client
