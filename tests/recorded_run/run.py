"""Runs one scenario against knotvane_drill and gathers every byte of its replies."""

import heapq
import struct
import subprocess

from tests.recorded_run import wire
from tests.recorded_run.site import SECOND, Site


class Unfit(Exception):
    """The program ended, or said that it failed, before the run was over."""


def read_exactly(stream, size):
    data = stream.read(size)
    if len(data) != size:
        raise Unfit(f"the program's output ended: {len(data)} of {size} bytes came")
    return data


def run(program, scenario):
    """All reply frames of the scenario, one after another."""
    site = Site(scenario)
    site.begin()
    step = round(scenario.step * SECOND)
    replies = []
    with subprocess.Popen([program], stdin=subprocess.PIPE, stdout=subprocess.PIPE) as process:
        try:
            while site.queue and site.queue[0][0] < scenario.seconds * SECOND:
                # A frame at the next whole step at which something happens.
                site.now = max(-(-site.queue[0][0] // step), site.now // step + 1) * step
                records, target = [], None
                while site.queue and site.queue[0][0] <= site.now:
                    _, _, what, values = heapq.heappop(site.queue)
                    told = site.happen(what, values)
                    if told is None:
                        continue
                    index, event = told
                    if index != target:
                        target = index
                        records.append(wire.record(wire.TARGET_INSTANCE, "I", index))
                    records += event
                process.stdin.write(wire.frame(site.now, records))
                process.stdin.flush()
                head = read_exactly(process.stdout, 4)
                reply = head + read_exactly(process.stdout, struct.unpack("<I", head)[0] - 4)
                replies.append(reply)
                index = None
                for action in wire.decode_reply(reply):
                    if action.code == wire.FAULT:
                        raise Unfit(f"{scenario.name}, frame {len(replies)}: {action}")
                    if action.code == wire.INSTANCE:
                        index = action.fields["instance"]
                    else:
                        site.act(index, action)
        finally:
            process.stdin.close()
    return b"".join(replies)
