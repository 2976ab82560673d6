"""Runs one scenario against knotvane_drill and collects all bytes of its replies."""

import heapq
import struct
import subprocess

from tests.recorded_run import wire
from tests.recorded_run.site import SECOND, Site


class ProgramFailed(Exception):
    """The program ended, or sent a fault record, before the run was over."""


def read_exactly(stream, size):
    data = stream.read(size)
    if len(data) != size:
        raise ProgramFailed(f"the program's output ended after {len(data)} of {size} expected bytes")
    return data


def run(program, scenario):
    """Returns the concatenated reply frames of the scenario."""
    site = Site(scenario)
    site.begin()
    step = round(scenario.time_step * SECOND)
    replies = []
    with subprocess.Popen([program], stdin=subprocess.PIPE, stdout=subprocess.PIPE) as process:
        try:
            while site.queue and site.queue[0][0] < scenario.seconds * SECOND:
                # Advance to the next step at which an event is due; each step's events make one frame.
                site.now = max(-(-site.queue[0][0] // step), site.now // step + 1) * step
                records, target = [], None
                while site.queue and site.queue[0][0] <= site.now:
                    _, _, event, arguments = heapq.heappop(site.queue)
                    handled = site.handle(event, arguments)
                    if handled is None:
                        continue
                    index, event_records = handled
                    if index != target:
                        target = index
                        records.append(wire.record(wire.TARGET_INSTANCE, "I", index))
                    records += event_records
                process.stdin.write(wire.frame(site.now, records))
                process.stdin.flush()
                length_field = read_exactly(process.stdout, 4)
                (length,) = struct.unpack("<I", length_field)
                reply = length_field + read_exactly(process.stdout, length - 4)
                replies.append(reply)
                index = None
                for action in wire.decode_reply(reply):
                    if action.code == wire.FAULT:
                        raise ProgramFailed(f"{scenario.name}, reply frame {len(replies)}: {action}")
                    if action.code == wire.INSTANCE:
                        index = action.fields["instance"]
                    else:
                        site.apply(index, action)
        finally:
            process.stdin.close()
    return b"".join(replies)
