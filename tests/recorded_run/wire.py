"""The simulator's wire as knotvane_drill speaks it: frames of records, little-endian, no padding."""

import struct
from dataclasses import dataclass

# Events, to the program.
BOOT = 256
MEMBERSHIP = 257
ASK = 258
RETURNED = 260
WITHDRAWN = 261
ELAPSED = 262
SHUTDOWN = 265
CENSUS = 266
TARGET_INSTANCE = 267

# Actions, from the program.
FAULT = 256
INSTANCE = 257
SET_ALARM = 260
ROUTE = 261
READ_LIST = 262
LOSE = 263
CALL_OFF = 264
LISTEN = 265
DECLINE = 268

# How an attempt ended.
ANSWERED, ERROR, FULL, TIMED_OUT, UNREACHABLE, RESET, CALLED_OFF, UNSENT = range(8)

# What a membership record tells.
LIST_FAILED, LIST_WHOLE, LIST_CHANGES = 1, 2, 3

# A node's state in an endpoint list.
DRAINING, GONE, READY = 0, 1, 2

# The bits of an ASK.
REPEATED, WRITES = 2, 4

# The fields of each action: name and format, in order. An address is six bytes.
ACTION_FIELDS = {
    INSTANCE: ("INSTANCE", (("instance", "I"),)),
    SET_ALARM: ("SET_ALARM", (("alarm", "I"), ("wait", "d"))),
    ROUTE: ("ROUTE", (("request", "Q"), ("node", "6s"), ("time_out", "d"))),
    READ_LIST: ("READ_LIST", ()),
    LOSE: ("LOSE", (("request", "Q"),)),
    CALL_OFF: ("CALL_OFF", (("request", "Q"), ("attempt", "B"))),
    LISTEN: ("LISTEN", (("on", "B"),)),
    DECLINE: ("DECLINE", (("request", "Q"), ("come_back_after", "d"))),
}


@dataclass(frozen=True)
class Action:
    """One record of a reply, with its fields by name."""

    code: int
    name: str
    fields: dict

    def __str__(self):
        return f"{self.name} ({self.code}) " + ", ".join(f"{k}={v}" for k, v in self.fields.items())


def seconds(microseconds):
    """The wire counts seconds in a double; the division is rounded the same way everywhere."""
    return microseconds / 1_000_000


def record(code, layout="", *values):
    body = struct.pack("<" + layout, *values)
    return struct.pack("<HI", code, len(body)) + body


def frame(clock, records):
    body = b"".join(records)
    return struct.pack("<Id", 12 + len(body), seconds(clock)) + body


def boot(seed, settings):
    text = "".join(f"{path}={value}\n" for path, value in settings.items()).encode()
    return record(BOOT, f"QI{len(text)}s", seed, len(text), text)


def census(number, entries):
    """An endpoint list; each entry is (shard, address, zone, state, started)."""
    body = b"".join(
        struct.pack("<H6sBBfd2x", shard, address, zone, state, 1.0, seconds(started))
        for shard, address, zone, state, started in entries
    )
    return record(CENSUS, f"HI{len(body)}s", number, len(entries), body)


def membership(kind, version, number):
    return record(MEMBERSHIP, "BQH", kind, version, number)


def returned(request, attempt, address, outcome, took, last):
    return record(
        RETURNED, "QB6sHdBHHB", request, attempt, address, outcome, seconds(took), int(last), 0, 0, 0
    )


def decode_reply(reply):
    """The actions of a whole reply frame. Those of an unknown code are kept as bytes."""
    actions, at = [], 4
    while at + 6 <= len(reply):
        code, length = struct.unpack_from("<HI", reply, at)
        start, at = at + 6, at + 6 + length
        body = reply[start:at]
        name, layout = ACTION_FIELDS.get(code, ("UNKNOWN", ()))
        expected = struct.calcsize("<" + "".join(form for _, form in layout))
        if name == "UNKNOWN" or expected != length:
            actions.append(Action(code, "FAULT" if code == FAULT else name, {"bytes": body}))
            continue
        values = struct.unpack("<" + "".join(form for _, form in layout), body)
        fields = {field: value for (field, _), value in zip(layout, values)}
        if "node" in fields:
            fields["node"] = fields["node"].hex()
        actions.append(Action(code, name, fields))
    return actions


def split_frames(run):
    """The reply frames of a whole run, in order."""
    frames, at = [], 0
    while at < len(run):
        (length,) = struct.unpack_from("<I", run, at)
        start, at = at, at + length
        frames.append(run[start:at])
    return frames
