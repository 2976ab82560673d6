"""Starts the programs that a build has left behind, and checks that they answer."""

import shlex
import struct
from pathlib import Path

from .errors import CheckError
from .machine import Machine, Outcome
from .package_lists import DeployFile
from .sysroot import Sysroot

# Each answers within milliseconds; the limit holds on a machine that is busy, too.
_ANSWER_SECONDS = 30

# A shell's statuses for a command that isn't there or can't be run, and the first for one that a signal ended.
_NOT_RUN = (126, 127)
_FIRST_SIGNAL_STATUS = 128

# The variable in which `run` is told its configuration.
_CONFIGURATION_VARIABLE = "LB_CONFIG"

# Codes of events on the simulator's wire.
_TARGET_INSTANCE = 267
_BOOT = 256

# The smallest settings that an instance starts with.
_SETTINGS = b"Balancers=1\nClasses.count=0\n"


def program_of(command: str, key: str, deploy: DeployFile) -> Path:
    """Returns the program that `command`, the deploy file's `key`, starts, as a path from the sources' root."""
    words = [word for word in shlex.split(command) if word != "exec"]
    if not words:
        raise CheckError(
            f"{deploy.name}: {key}: starts no program; expected a command such as 'exec build/PROGRAM'"
        )
    return Path(words[0])


def check_libraries(program: Path, machine: Machine, sysroot: Sysroot) -> None:
    """Checks that each shared library of `program` stands in the system root."""
    for name, place in machine.shared_libraries(program).items():
        if place is None:
            raise CheckError(
                f"{program.name}: its shared library {name} is in none of the listed packages; expected it there"
            )
        if not sysroot.contains(place):
            raise CheckError(
                f"{program.name}: its shared library {name} comes from {place}; expected a listed package's"
            )


def check_run(deploy: DeployFile, source: Path, machine: Machine) -> None:
    """Checks that `run`, started without its environment, says in one line what it lacks, and ends."""
    outcome = machine.run(deploy.run, source, _ANSWER_SECONDS)
    lines = outcome.output.splitlines()
    if not _refused(outcome) or len(lines) != 1 or _CONFIGURATION_VARIABLE not in lines[0]:
        raise CheckError(
            f"{deploy.name}: run: without its environment: {_ending(outcome)}, printed {outcome.output!r}; "
            f"expected one line that names {_CONFIGURATION_VARIABLE}, and a status of failure"
        )


def check_sim(deploy: DeployFile, source: Path, machine: Machine) -> None:
    """Checks that `sim` answers an empty batch, then one that boots an instance, and ends with its input."""
    outcome = machine.run(deploy.sim, source, _ANSWER_SECONDS, _batch(b"") + _batch(_boot_records()))
    frames = _frames(outcome.stdout)
    if outcome.status != 0 or frames is None or len(frames) != 2 or frames[0] != b"":
        raise CheckError(
            f"{deploy.name}: sim: to two batches: {_ending(outcome)}, answer {outcome.stdout.hex() or 'none'}; "
            "expected two frames, the first of them empty, and status 0"
        )


def _refused(outcome: Outcome) -> bool:
    status = outcome.status
    return status is not None and 0 < status < _FIRST_SIGNAL_STATUS and status not in _NOT_RUN


def _ending(outcome: Outcome) -> str:
    return f"no end in {_ANSWER_SECONDS} s" if outcome.status is None else f"status {outcome.status}"


def _batch(records: bytes) -> bytes:
    """A batch of events: the length of the whole frame, the clock in seconds, the records."""
    clock = struct.pack("<d", 1.0)
    return struct.pack("<I", 4 + len(clock) + len(records)) + clock + records


def _record(code: int, fields: bytes) -> bytes:
    return struct.pack("<HI", code, len(fields)) + fields


def _boot_records() -> bytes:
    instance = struct.pack("<I", 3)
    seed_and_settings = struct.pack("<QI", 1, len(_SETTINGS)) + _SETTINGS
    return _record(_TARGET_INSTANCE, instance) + _record(_BOOT, seed_and_settings)


def _frames(answer: bytes) -> list[bytes] | None:
    """Splits an answer into its frames, each without its length; None where a length doesn't fit."""
    frames = []
    while answer:
        if len(answer) < 4:
            return None
        (length,) = struct.unpack_from("<I", answer)
        if not 4 <= length <= len(answer):
            return None
        frames.append(answer[4:length])
        answer = answer[length:]
    return frames
