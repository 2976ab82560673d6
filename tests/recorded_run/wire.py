"""The simulator's wire protocol as knotvane_drill implements it: frames of little-endian records.

The names are those of src/simulator_adapter/records.hpp, which describes the fields.
"""

import struct
from dataclasses import dataclass

# Events, to the program.
START = 256
ENDPOINT_UPDATE = 257
REQUEST_RECEIVED = 258
ATTEMPT_COMPLETED = 260
REQUEST_CANCELED = 261
TIMER_EXPIRED = 262
KILL = 265
ENDPOINT_LIST = 266
TARGET_INSTANCE = 267

# Actions, from the program.
FAULT = 256
INSTANCE = 257
SET_TIMER = 260
START_ATTEMPT = 261
READ_ENDPOINT_LIST = 262
FAIL = 263
CANCEL_ATTEMPT = 264
WATCH_ENDPOINTS = 265
REJECT = 268

# How an attempt ended.
ANSWERED, ERROR, OVERLOADED, TIMED_OUT, UNREACHABLE, RESET, CANCELED, NOT_SENT = range(8)

# The kind of an ENDPOINT_UPDATE.
LIST_FAILED, LIST_FULL, LIST_DELTA = 1, 2, 3

# A node's state in an endpoint list.
DRAINING, REMOVED, READY = 0, 1, 2

# Flag bits of a REQUEST_RECEIVED.
REPEATED, WRITES = 2, 4

# The name of each action, and the names and struct formats of its fields in order. An address has 6 bytes.
ACTION_FIELDS = {
    INSTANCE: ("INSTANCE", (("instance", "I"),)),
    SET_TIMER: ("SET_TIMER", (("timer", "I"), ("delay", "d"))),
    START_ATTEMPT: ("START_ATTEMPT", (("request", "Q"), ("node", "6s"), ("timeout", "d"))),
    READ_ENDPOINT_LIST: ("READ_ENDPOINT_LIST", ()),
    FAIL: ("FAIL", (("request", "Q"),)),
    CANCEL_ATTEMPT: ("CANCEL_ATTEMPT", (("request", "Q"), ("attempt", "B"))),
    WATCH_ENDPOINTS: ("WATCH_ENDPOINTS", (("on", "B"),)),
    REJECT: ("REJECT", (("request", "Q"), ("retry_after", "d"))),
}


@dataclass(frozen=True)
class Action:
    """One record of a reply, with its fields by name."""

    code: int
    name: str
    fields: dict

    def __str__(self):
        fields = ", ".join(f"{field}={value}" for field, value in self.fields.items())
        return f"{self.name} ({self.code}) {fields}"


def seconds(microseconds):
    """Converts to the seconds of the wire, a double; the division rounds the same on every machine."""
    return microseconds / 1_000_000


def record(code, layout="", *values):
    body = struct.pack("<" + layout, *values)
    return struct.pack("<HI", code, len(body)) + body


def frame(clock, records):
    body = b"".join(records)
    return struct.pack("<Id", 12 + len(body), seconds(clock)) + body


def start_record(seed, settings):
    text = "".join(f"{path}={value}\n" for path, value in settings.items()).encode()
    return record(START, f"QI{len(text)}s", seed, len(text), text)


def endpoint_list_record(number, entries):
    """An endpoint list; each entry is (shard, address, zone, state, started_at)."""
    body = b"".join(
        struct.pack("<H6sBBfd2x", shard, address, zone, state, 1.0, seconds(started_at))
        for shard, address, zone, state, started_at in entries
    )
    return record(ENDPOINT_LIST, f"HI{len(body)}s", number, len(entries), body)


def endpoint_update_record(kind, version, number):
    return record(ENDPOINT_UPDATE, "BQH", kind, version, number)


def attempt_completed_record(request, attempt, address, outcome, duration, client_answered):
    return record(
        ATTEMPT_COMPLETED,
        "QB6sHdBHHB",
        request,
        attempt,
        address,
        outcome,
        seconds(duration),
        int(client_answered),
        0,
        0,
        0,
    )


def decode_reply(reply):
    """Decodes the actions of a complete reply frame. Fields of an unknown layout are kept as bytes."""
    actions, position = [], 4
    while position + 6 <= len(reply):
        code, length = struct.unpack_from("<HI", reply, position)
        start, position = position + 6, position + 6 + length
        body = reply[start:position]
        name, layout = ACTION_FIELDS.get(code, ("UNKNOWN", ()))
        expected_length = struct.calcsize("<" + "".join(form for _, form in layout))
        if name == "UNKNOWN" or expected_length != length:
            actions.append(Action(code, "FAULT" if code == FAULT else name, {"bytes": body}))
            continue
        values = struct.unpack("<" + "".join(form for _, form in layout), body)
        fields = {field: value for (field, _), value in zip(layout, values)}
        if "node" in fields:
            fields["node"] = fields["node"].hex()
        actions.append(Action(code, name, fields))
    return actions


def split_frames(run):
    """Splits the reply bytes of a complete run into its frames."""
    frames, position = [], 0
    while position < len(run):
        (length,) = struct.unpack_from("<I", run, position)
        start, position = position, position + length
        frames.append(run[start:position])
    return frames
