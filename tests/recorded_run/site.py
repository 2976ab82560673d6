"""A small site, driven by its own seeded generator: clients that ask, nodes that answer or fail.

It is closed loop: which outcome comes when depends on the attempts that the program starts. Times are
whole microseconds and chance is only ever drawn by random(), so that a run is the same everywhere.
"""

import heapq
import random
from dataclasses import dataclass, field

from tests.recorded_run import wire

MS = 1_000
SECOND = 1_000_000


@dataclass(frozen=True)
class Workload:
    """A class of requests: its settings on the wire, and what its clients ask."""

    target: float = 0.4
    deadline: float = 1.5
    points: float = 1
    late_worth: float = 0.2
    effect: str = "idempotent"
    group: str = "all"
    repeat_window: float = 2
    in_turn: bool = False
    writes: bool = False


@dataclass(frozen=True)
class Plan:
    shares: float = 1
    usual: float = 10
    reserve: float = 0
    price: float = 1
    ceiling: float = 0
    burst: float = 0


@dataclass(frozen=True)
class Scenario:
    """One recorded run: how the site is set, how much is asked and what goes wrong."""

    name: str
    seed: int
    seconds: float = 15
    schedulers: int = 2
    boots: tuple = ()  # (scheduler, second): those that start later than at 0
    nodes: int = 4
    shards: int = 0  # fewer than nodes: several nodes hold one shard; 0: one each
    volumes: int = 6
    rate: float = 60  # requests a second at each scheduler
    surge: tuple = (0, 0, 1)  # from, until, times the rate
    unit_ms: float = 20  # work of a unit on one of a node's slots
    slots: int = 2
    room: int = 40  # attempts that a node takes before it is full
    largest: int = 8
    hosts: tuple = (1,)
    keys: int = 40
    no_shard: float = 0.0  # part of requests for new objects
    leave: float = 0.02  # part of clients that leave early
    leave_ms: tuple = (50, 400)
    leave_volumes: int = 1000  # only clients of the first so many volumes leave
    ask_again: float = 0.6
    ends: float = 0.6  # part of errors that are a request's final answer
    odd: tuple = (0.01, 0.01, 0.01, 0.005)  # parts of attempts: error, lost, reset, unsent
    faults: tuple = ()  # (second, node, what)
    marks: bool = True
    step: float = 0.002
    workloads: tuple = (Workload(), Workload(effect="deduplicated", writes=True, points=2))
    plans: tuple = (Plan(), Plan(shares=2, reserve=6, price=2))
    settings: dict = field(default_factory=dict)


class Node:
    """A node of the site: slots that work one attempt after another, and what is wrong with it."""

    def __init__(self, number, scenario):
        self.address = bytes((10, 0, number // 200, 1 + number % 200, 0x1B, 0x5B))
        self.shard = number % (scenario.shards or scenario.nodes)
        self.zone = number % 2
        self.state = wire.READY
        self.started = 0
        self.listed = True
        self.way = "well"
        self.slots = [0] * scenario.slots
        self.inside = 0


class Site:
    def __init__(self, scenario):
        self.scenario = scenario
        self.chance = random.Random(scenario.seed)
        self.now = 0
        self.queue = []
        self.order = 0
        self.next_request = 1
        self.nodes = [Node(number, scenario) for number in range(scenario.nodes)]
        self.by_address = {node.address: node for node in self.nodes}
        self.requests = {}  # by id: a dict of what was asked, with its attempts
        self.attempts = {}  # (request, attempt) still out: node, time sent
        self.alarms = {}
        self.booted = set()
        self.versions = 0

    def below(self, most):
        return int(self.chance.random() * most)

    def between(self, least, most):
        return least + self.below(most - least + 1)

    def at(self, time, what, *values):
        self.order += 1
        heapq.heappush(self.queue, (max(time, self.now), self.order, what, values))

    def settings(self, index):
        scenario = self.scenario
        told = {
            "Index": index,
            "Balancers": scenario.schedulers,
            "StepS": scenario.step,
            "Rules.GraceToAnswerS": 0.008,
            "Clients.MarksRetry": str(scenario.marks).lower(),
            "Extra.UnitMean": 2,
            "Extra.UnitsTop": scenario.largest,
            "Extra.ShareWorth": 0.3,
            "Extra.SpareWorth": 0.05,
            "Permissions.MaxAttempts": 3,
            "Permissions.Cancel": "true",
            "Permissions.RetryAfter": "true",
            "Permissions.MaxRetryAfterS": 2,
            "Rules.KeyRestS": 0.3,
            "Rules.FallS": 1,
            "Rules.WarmAfterS": 5,
            "Rules.StartCapacity": 0.25,
            "Extra.ColdUnits": 40,
            "Classes.count": len(scenario.workloads),
            "Contracts.count": len(scenario.plans),
        }
        for number, workload in enumerate(scenario.workloads):
            at = f"Classes.{number}."
            told[at + "TargetS"] = workload.target
            told[at + "DeadlineS"] = workload.deadline
            told[at + "Points"] = workload.points
            told[at + "LateWorth"] = workload.late_worth
            told[at + "Effect"] = workload.effect
            told[at + "Group"] = workload.group
            told[at + "RepeatWindowS"] = workload.repeat_window
            told[at + "InTurn"] = str(workload.in_turn).lower()
        for number, plan in enumerate(scenario.plans):
            at = f"Contracts.{number}."
            told[at + "Shares"] = plan.shares
            told[at + "UsualRate"] = plan.usual
            told[at + "Guaranteed"] = plan.reserve
            told[at + "Price"] = plan.price
            told[at + "CeilingRate"] = plan.ceiling
            told[at + "Burst"] = plan.burst
        told.update(scenario.settings)
        return told

    def begin(self):
        """The first events: each scheduler boots, hears of the nodes, and its clients come."""
        later = dict(self.scenario.boots)
        for index in range(self.scenario.schedulers):
            start = int(later.get(index, 0) * SECOND)
            self.at(start, "boot", index)
            if self.scenario.settings.get("RegistryMode") != "on_request":
                self.at(start, "list", index, wire.LIST_WHOLE)
            due = start + self.between(0, 20 * MS)
            self.at(due, "arrival", index, due)
        for second, number, way in self.scenario.faults:
            self.at(int(second * SECOND), "fault", number, way)

    # ---- What is told to the program.

    def endpoint_list(self, nodes):
        return wire.census(
            0, [(node.shard, node.address, node.zone, node.state, node.started) for node in nodes]
        )

    def happen(self, what, values):
        """The records for one event, each with the scheduler it is for."""
        return getattr(self, "on_" + what)(*values)

    def on_boot(self, index):
        self.booted.add(index)
        return index, [wire.boot(self.scenario.seed * 1000 + index, self.settings(index))]

    def on_list(self, index, kind, nodes=None):
        self.versions += 1
        told = nodes if nodes is not None else [node for node in self.nodes if node.listed]
        if kind == wire.LIST_FAILED:
            return index, [wire.membership(kind, self.versions, 0)]
        return index, [self.endpoint_list(told), wire.membership(kind, self.versions, 0)]

    def on_arrival(self, index, due):
        scenario = self.scenario
        since, until, times = scenario.surge
        rate = scenario.rate * (times if since * SECOND <= self.now < until * SECOND else 1)
        due += int(self.chance.random() * 2 * SECOND / rate) + 1
        self.at(due, "arrival", index, due)
        volume = self.below(scenario.volumes)
        units = self.between(1, scenario.largest) if self.below(4) == 0 else self.between(1, 2)
        asked = {
            "index": index,
            "workload": self.below(len(scenario.workloads)),
            "volume": volume,
            "plan": volume % len(scenario.plans),
            "shard": -1.0
            if self.chance.random() < scenario.no_shard
            else float(self.below(scenario.shards or scenario.nodes)),
            "key": self.below(scenario.keys),
            "units": units,
            "hosts": scenario.hosts[self.below(len(scenario.hosts))],
        }
        return self.ask(asked, False)

    def on_again(self, asked):
        return self.ask(asked, True)

    def ask(self, asked, repeated):
        scenario = self.scenario
        workload = scenario.workloads[asked["workload"]]
        request, self.next_request = self.next_request, self.next_request + 1
        deadline = self.now + int(workload.deadline * SECOND)
        bits = (wire.REPEATED if repeated and scenario.marks else 0) | (wire.WRITES * workload.writes)
        self.requests[request] = {"asked": asked, "deadline": deadline, "made": 0, "over": False}
        if asked["volume"] < scenario.leave_volumes and self.chance.random() < scenario.leave:
            self.at(self.now + self.between(*scenario.leave_ms) * MS, "leave", request)
        return asked["index"], [
            wire.record(
                wire.ASK,
                "QBHfQfQIdf",
                request,
                bits,
                asked["workload"],
                asked["hosts"],
                asked["volume"],
                asked["shard"],
                asked["key"],
                asked["plan"],
                wire.seconds(deadline),
                asked["units"],
            )
        ]

    def on_leave(self, request):
        known = self.requests[request]
        if known["over"]:
            return None
        self.over(request, 100 * MS)
        return known["asked"]["index"], [wire.record(wire.WITHDRAWN, "Q", request)]

    def on_alarm(self, index, alarm, until):
        if self.alarms.get((index, alarm)) != until:
            return None
        return index, [wire.record(wire.ELAPSED, "I", alarm)]

    def on_outcome(self, request, attempt, outcome, frees):
        node, sent = self.attempts.get((request, attempt), (None, 0))
        if node is None:
            return None
        if frees:
            node.inside -= 1
        del self.attempts[request, attempt]
        known = self.requests[request]
        last = outcome == wire.ANSWERED or (
            outcome == wire.ERROR and self.chance.random() < self.scenario.ends
        )
        if last and not known["over"]:
            known["over"] = True
        return known["asked"]["index"], [
            wire.returned(request, attempt, node.address, outcome, self.now - sent, last)
        ]

    def on_fault(self, number, way):
        """A node changes; what the schedulers hear of it by their lists comes a little later."""
        node = self.nodes[number]
        told = {"drain": wire.DRAINING, "gone": wire.GONE, "ready": wire.READY}
        kind = wire.LIST_CHANGES
        if way in told:
            node.state = told[way]
        elif way in ("vanish", "appear"):
            node.listed, kind = way == "appear", wire.LIST_WHOLE
        elif way == "restart":
            node.started, node.way, node.slots = self.now, "well", [self.now] * self.scenario.slots
        else:
            node.way = way
            if way != "list_failed":
                return None
            node.way, kind = "well", wire.LIST_FAILED
        for index in sorted(self.booted):
            nodes = [node] if kind == wire.LIST_CHANGES else None
            self.at(self.now + self.between(1, 300) * MS, "list", index, kind, nodes)
        return None

    # ---- What the program does.

    def over(self, request, wait):
        known = self.requests[request]
        known["over"] = True
        if self.chance.random() < self.scenario.ask_again:
            self.at(self.now + wait + self.between(0, 50) * MS, "again", known["asked"])

    def act(self, index, action):
        fields = action.fields
        if action.code == wire.SET_ALARM:
            # A wait of nothing ends with the next step: time must go on.
            step = round(self.scenario.step * SECOND)
            until = max(self.now + round(fields["wait"] * SECOND), self.now + step)
            self.alarms[index, fields["alarm"]] = until
            self.at(until, "alarm", index, fields["alarm"], until)
        elif action.code == wire.ROUTE:
            self.route(fields["request"], self.by_address[bytes.fromhex(fields["node"])])
        elif action.code == wire.CALL_OFF:
            self.at(self.now + 1 * MS, "outcome", fields["request"], fields["attempt"], wire.CALLED_OFF, True)
        elif action.code in (wire.DECLINE, wire.LOSE):
            wait = fields.get("come_back_after", 0.1)
            self.over(fields["request"], round(wait * SECOND))
        elif action.code == wire.LISTEN:
            kind = wire.LIST_FAILED if self.below(3) == 0 else wire.LIST_WHOLE
            self.at(self.now + self.between(5, 200) * MS, "list", index, kind)

    def route(self, request, node):
        known = self.requests[request]
        attempt, known["made"] = known["made"], known["made"] + 1
        self.attempts[request, attempt] = (node, self.now)
        node.inside += 1
        units = known["asked"]["units"]
        slot = min(range(len(node.slots)), key=node.slots.__getitem__)
        work = int(units * self.scenario.unit_ms * MS * (0.7 + 0.6 * self.chance.random()))
        if node.way == "slow":
            work *= 6
        drawn, outcome = self.chance.random(), wire.ANSWERED
        for part, odd in zip(self.scenario.odd, (wire.ERROR, wire.TIMED_OUT, wire.RESET, wire.UNSENT)):
            if drawn < part:
                outcome = odd
                break
            drawn -= part
        done = known["deadline"]
        if node.way == "refusing":
            outcome, done = wire.UNREACHABLE, self.now + 1 * MS
        elif node.way == "full" or node.inside > self.scenario.room:
            outcome, done = wire.FULL, self.now + 1 * MS
        elif node.way == "resetting":
            outcome, done = wire.RESET, self.now + self.between(5, 60) * MS
        elif outcome == wire.UNSENT:
            done = self.now + 2 * MS
        elif outcome != wire.TIMED_OUT and node.way != "silent":
            node.slots[slot] = max(node.slots[slot], self.now) + work
            done = node.slots[slot] + 1 * MS
        else:
            outcome = wire.TIMED_OUT
        if done >= known["deadline"]:
            outcome, done = wire.TIMED_OUT, known["deadline"]
        self.at(done, "outcome", request, attempt, outcome, True)
