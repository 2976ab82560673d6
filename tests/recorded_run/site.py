"""A simulated site: clients that send requests and nodes that answer them or fail.

The simulation is closed loop: which results arrive when depends on the attempts that the program starts.
Times are whole microseconds, and random numbers are drawn only with random() of the site's own seeded
generator, so that a run is the same on every machine.
"""

import heapq
import random
from dataclasses import dataclass, field

from tests.recorded_run import wire

MS = 1_000
SECOND = 1_000_000


@dataclass(frozen=True)
class Workload:
    """A class of requests: its settings on the wire, and what its clients request. Times in seconds."""

    latency_objective: float = 0.4
    client_timeout: float = 1.5
    value: float = 1
    late_value_fraction: float = 0.2
    idempotency: str = "idempotent"
    deduplication_scope: str = "all"
    deduplication_window: float = 2
    ordered_by_key: bool = False
    writes: bool = False


@dataclass(frozen=True)
class Plan:
    weight: float = 1
    usual_rate: float = 10
    reserved_rate: float = 0
    price: float = 1
    limit_rate: float = 0
    limit_burst: float = 0


@dataclass(frozen=True)
class Scenario:
    """One recorded run: the configuration of the site, its load and its faults."""

    name: str
    seed: int
    seconds: float = 15
    schedulers: int = 2
    late_starts: tuple = ()  # (scheduler, second) of those that start later than at 0
    nodes: int = 4
    shards: int = 0  # if fewer than nodes, several nodes hold one shard; 0: one shard per node
    volumes: int = 6
    rate: float = 60  # requests per second at each scheduler
    surge: tuple = (0, 0, 1)  # start and end in seconds, factor by which the rate is multiplied
    unit_ms: float = 20  # mean time that one unit takes on one of a node's slots
    slots: int = 2  # attempts that a node executes at the same time
    node_capacity: int = 40  # attempts that a node holds before it answers "overloaded"
    max_units: int = 8
    sharers: tuple = (1,)  # numbers of sharers of a volume's limit that clients name
    keys: int = 40
    new_object_fraction: float = 0.0  # requests for new objects, which have no shard
    disconnect_fraction: float = 0.02  # clients that disconnect early
    disconnect_ms: tuple = (50, 400)  # range of the time after which these disconnect
    disconnect_volumes: int = 1000  # only clients of this many volumes, from number 0, disconnect
    repeat_fraction: float = 0.6  # requests ended without an answer that clients repeat
    final_error_fraction: float = 0.6  # errors that are the request's final answer
    failure_fractions: tuple = (0.01, 0.01, 0.01, 0.005)  # attempts: error, timed out, reset, not sent
    faults: tuple = ()  # (second, node, kind); the kinds are in Site.on_fault
    clients_mark_repeats: bool = True
    time_step: float = 0.002
    workloads: tuple = (Workload(), Workload(idempotency="deduplicated", writes=True, value=2))
    plans: tuple = (Plan(), Plan(weight=2, reserved_rate=6, price=2))
    settings: dict = field(default_factory=dict)


class Node:
    """A node of the site: slots that each execute one attempt after another, and its current fault."""

    def __init__(self, number, scenario):
        self.address = bytes((10, 0, number // 200, 1 + number % 200, 0x1B, 0x5B))
        self.shard = number % (scenario.shards or scenario.nodes)
        self.zone = number % 2
        self.state = wire.READY
        self.started_at = 0
        self.listed = True
        self.condition = "healthy"
        self.slots = [0] * scenario.slots  # when each slot is free
        self.in_flight = 0


class Site:
    """The state of the simulation: a queue of future events, and everything that they need."""

    def __init__(self, scenario):
        self.scenario = scenario
        self.generator = random.Random(scenario.seed)
        self.now = 0
        self.queue = []  # heap of (time, number, event, arguments)
        self.event_count = 0
        self.next_request = 1
        self.nodes = [Node(number, scenario) for number in range(scenario.nodes)]
        self.by_address = {node.address: node for node in self.nodes}
        self.requests = {}  # by id: a dict with the request's parameters and progress
        self.attempts = {}  # (request, attempt) in flight: node, start time
        self.timers = {}  # (scheduler, timer): when it expires
        self.started_schedulers = set()
        self.list_version = 0

    def random_below(self, limit):
        return int(self.generator.random() * limit)

    def random_between(self, least, most):
        return least + self.random_below(most - least + 1)

    def schedule(self, time, event, *arguments):
        self.event_count += 1
        heapq.heappush(self.queue, (max(time, self.now), self.event_count, event, arguments))

    def settings(self, index):
        scenario = self.scenario
        settings = {
            "Index": index,
            "Balancers": scenario.schedulers,
            "StepS": scenario.time_step,
            "Rules.GraceToAnswerS": 0.008,
            "Clients.MarksRetry": str(scenario.clients_mark_repeats).lower(),
            "Extra.UnitMean": 2,
            "Extra.UnitsTop": scenario.max_units,
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
            prefix = f"Classes.{number}."
            settings[prefix + "TargetS"] = workload.latency_objective
            settings[prefix + "DeadlineS"] = workload.client_timeout
            settings[prefix + "Points"] = workload.value
            settings[prefix + "LateWorth"] = workload.late_value_fraction
            settings[prefix + "Effect"] = workload.idempotency
            settings[prefix + "Group"] = workload.deduplication_scope
            settings[prefix + "RepeatWindowS"] = workload.deduplication_window
            settings[prefix + "InTurn"] = str(workload.ordered_by_key).lower()
        for number, plan in enumerate(scenario.plans):
            prefix = f"Contracts.{number}."
            settings[prefix + "Shares"] = plan.weight
            settings[prefix + "UsualRate"] = plan.usual_rate
            settings[prefix + "Guaranteed"] = plan.reserved_rate
            settings[prefix + "Price"] = plan.price
            settings[prefix + "CeilingRate"] = plan.limit_rate
            settings[prefix + "Burst"] = plan.limit_burst
        settings.update(scenario.settings)
        return settings

    def begin(self):
        """Schedules the first events: schedulers start and get the endpoint list, clients arrive."""
        late_starts = dict(self.scenario.late_starts)
        for index in range(self.scenario.schedulers):
            start = int(late_starts.get(index, 0) * SECOND)
            self.schedule(start, "start", index)
            if self.scenario.settings.get("RegistryMode") != "on_request":
                self.schedule(start, "endpoint_list", index, wire.LIST_FULL)
            due = start + self.random_between(0, 20 * MS)
            self.schedule(due, "arrival", index, due)
        for second, number, kind in self.scenario.faults:
            self.schedule(int(second * SECOND), "fault", number, kind)

    # ---- Events. Each handler returns the records for the program and their scheduler, or None.

    def endpoint_list_record(self, nodes):
        return wire.endpoint_list_record(
            0, [(node.shard, node.address, node.zone, node.state, node.started_at) for node in nodes]
        )

    def handle(self, event, arguments):
        """Returns the number of a scheduler and the event's records for it; None if there are none."""
        return getattr(self, "on_" + event)(*arguments)

    def on_start(self, index):
        self.started_schedulers.add(index)
        return index, [wire.start_record(self.scenario.seed * 1000 + index, self.settings(index))]

    def on_endpoint_list(self, index, kind, nodes=None):
        self.list_version += 1
        listed = nodes if nodes is not None else [node for node in self.nodes if node.listed]
        if kind == wire.LIST_FAILED:
            return index, [wire.endpoint_update_record(kind, self.list_version, 0)]
        return index, [
            self.endpoint_list_record(listed),
            wire.endpoint_update_record(kind, self.list_version, 0),
        ]

    def on_arrival(self, index, due):
        scenario = self.scenario
        surge_start, surge_end, factor = scenario.surge
        rate = scenario.rate * (factor if surge_start * SECOND <= self.now < surge_end * SECOND else 1)
        due += int(self.generator.random() * 2 * SECOND / rate) + 1
        self.schedule(due, "arrival", index, due)
        volume = self.random_below(scenario.volumes)
        units = (
            self.random_between(1, scenario.max_units)
            if self.random_below(4) == 0
            else self.random_between(1, 2)
        )
        parameters = {
            "index": index,
            "workload": self.random_below(len(scenario.workloads)),
            "volume": volume,
            "plan": volume % len(scenario.plans),
            "shard": -1.0
            if self.generator.random() < scenario.new_object_fraction
            else float(self.random_below(scenario.shards or scenario.nodes)),
            "key": self.random_below(scenario.keys),
            "units": units,
            "sharers": scenario.sharers[self.random_below(len(scenario.sharers))],
        }
        return self.send_request(parameters, False)

    def on_repeat(self, parameters):
        return self.send_request(parameters, True)

    def send_request(self, parameters, repeated):
        scenario = self.scenario
        workload = scenario.workloads[parameters["workload"]]
        request, self.next_request = self.next_request, self.next_request + 1
        client_timeout = self.now + int(workload.client_timeout * SECOND)
        flags = (wire.REPEATED if repeated and scenario.clients_mark_repeats else 0) | (
            wire.WRITES * workload.writes
        )
        self.requests[request] = {
            "parameters": parameters,
            "client_timeout": client_timeout,
            "attempt_count": 0,
            "ended": False,
        }
        if (
            parameters["volume"] < scenario.disconnect_volumes
            and self.generator.random() < scenario.disconnect_fraction
        ):
            wait = self.random_between(*scenario.disconnect_ms) * MS
            self.schedule(self.now + wait, "disconnect", request)
        return parameters["index"], [
            wire.record(
                wire.REQUEST_RECEIVED,
                "QBHfQfQIdf",
                request,
                flags,
                parameters["workload"],
                parameters["sharers"],
                parameters["volume"],
                parameters["shard"],
                parameters["key"],
                parameters["plan"],
                wire.seconds(client_timeout),
                parameters["units"],
            )
        ]

    def on_disconnect(self, request):
        entry = self.requests[request]
        if entry["ended"]:
            return None
        self.end_unanswered(request, 100 * MS)
        return entry["parameters"]["index"], [wire.record(wire.REQUEST_CANCELED, "Q", request)]

    def on_timer(self, index, timer, expires_at):
        if self.timers.get((index, timer)) != expires_at:
            return None  # the timer was set again
        return index, [wire.record(wire.TIMER_EXPIRED, "I", timer)]

    def on_attempt_completed(self, request, attempt, outcome, leaves_node):
        node, started_at = self.attempts.get((request, attempt), (None, 0))
        if node is None:
            return None
        if leaves_node:
            node.in_flight -= 1
        del self.attempts[request, attempt]
        entry = self.requests[request]
        client_answered = outcome == wire.ANSWERED or (
            outcome == wire.ERROR and self.generator.random() < self.scenario.final_error_fraction
        )
        if client_answered and not entry["ended"]:
            entry["ended"] = True
        duration = self.now - started_at
        return entry["parameters"]["index"], [
            wire.attempt_completed_record(request, attempt, node.address, outcome, duration, client_answered)
        ]

    def on_fault(self, number, kind):
        """Changes a node's condition. The schedulers' endpoint lists report the change a little later."""
        node = self.nodes[number]
        states = {"drain": wire.DRAINING, "remove": wire.REMOVED, "ready": wire.READY}
        list_kind = wire.LIST_DELTA
        if kind in states:
            node.state = states[kind]
        elif kind in ("unlist", "list"):
            node.listed, list_kind = kind == "list", wire.LIST_FULL
        elif kind == "restart":
            node.started_at, node.condition = self.now, "healthy"
            node.slots = [self.now] * self.scenario.slots
        else:
            node.condition = kind
            if kind != "list_failed":
                return None  # the endpoint list doesn't report it
            node.condition, list_kind = "healthy", wire.LIST_FAILED
        for index in sorted(self.started_schedulers):
            nodes = [node] if list_kind == wire.LIST_DELTA else None
            delay = self.random_between(1, 300) * MS
            self.schedule(self.now + delay, "endpoint_list", index, list_kind, nodes)
        return None

    # ---- Actions of the program.

    def end_unanswered(self, request, wait):
        """Ends a request without an answer; its client may repeat it after the wait."""
        entry = self.requests[request]
        entry["ended"] = True
        if self.generator.random() < self.scenario.repeat_fraction:
            repeat_at = self.now + wait + self.random_between(0, 50) * MS
            self.schedule(repeat_at, "repeat", entry["parameters"])

    def apply(self, index, action):
        """Applies an action of the scheduler with the given number."""
        fields = action.fields
        if action.code == wire.SET_TIMER:
            # A timer without delay expires one step later: the clock must advance.
            step = round(self.scenario.time_step * SECOND)
            expires_at = max(self.now + round(fields["delay"] * SECOND), self.now + step)
            self.timers[index, fields["timer"]] = expires_at
            self.schedule(expires_at, "timer", index, fields["timer"], expires_at)
        elif action.code == wire.START_ATTEMPT:
            self.start_attempt(fields["request"], self.by_address[bytes.fromhex(fields["node"])])
        elif action.code == wire.CANCEL_ATTEMPT:
            result = (fields["request"], fields["attempt"], wire.CANCELED, True)
            self.schedule(self.now + 1 * MS, "attempt_completed", *result)
        elif action.code in (wire.REJECT, wire.FAIL):
            wait = fields.get("retry_after", 0.1)
            self.end_unanswered(fields["request"], round(wait * SECOND))
        elif action.code == wire.WATCH_ENDPOINTS:
            kind = wire.LIST_FAILED if self.random_below(3) == 0 else wire.LIST_FULL
            self.schedule(self.now + self.random_between(5, 200) * MS, "endpoint_list", index, kind)

    def start_attempt(self, request, node):
        """Decides the outcome of a new attempt, and schedules its end."""
        entry = self.requests[request]
        attempt, entry["attempt_count"] = entry["attempt_count"], entry["attempt_count"] + 1
        self.attempts[request, attempt] = (node, self.now)
        node.in_flight += 1
        units = entry["parameters"]["units"]
        slot = min(range(len(node.slots)), key=node.slots.__getitem__)
        work = int(units * self.scenario.unit_ms * MS * (0.7 + 0.6 * self.generator.random()))
        if node.condition == "slow":
            work *= 6
        drawn, outcome = self.generator.random(), wire.ANSWERED
        failures = (wire.ERROR, wire.TIMED_OUT, wire.RESET, wire.NOT_SENT)
        for fraction, failure in zip(self.scenario.failure_fractions, failures):
            if drawn < fraction:
                outcome = failure
                break
            drawn -= fraction
        ends_at = entry["client_timeout"]
        if node.condition == "refusing":
            outcome, ends_at = wire.UNREACHABLE, self.now + 1 * MS
        elif node.condition == "overloaded" or node.in_flight > self.scenario.node_capacity:
            outcome, ends_at = wire.OVERLOADED, self.now + 1 * MS
        elif node.condition == "resetting":
            outcome, ends_at = wire.RESET, self.now + self.random_between(5, 60) * MS
        elif outcome == wire.NOT_SENT:
            ends_at = self.now + 2 * MS
        elif outcome != wire.TIMED_OUT and node.condition != "unresponsive":
            node.slots[slot] = max(node.slots[slot], self.now) + work
            ends_at = node.slots[slot] + 1 * MS
        else:
            outcome = wire.TIMED_OUT
        if ends_at >= entry["client_timeout"]:
            outcome, ends_at = wire.TIMED_OUT, entry["client_timeout"]
        self.schedule(ends_at, "attempt_completed", request, attempt, outcome, True)
