"""Reads from a failed build's output which file it sought, and finds out which package has that file."""

import re
import subprocess
from collections.abc import Callable
from dataclasses import dataclass


@dataclass(frozen=True)
class SoughtFile:
    """A file that a build did not find.

    `patterns` are those that `dpkg-query --search` may know it by, the likeliest first.
    """

    name: str
    patterns: tuple[str, ...]


def _header(name: str) -> SoughtFile:
    # Where a compiler looks first; then beneath a folder of the header's own project.
    return SoughtFile(
        name, (f"/usr/include/{name}", f"/usr/include/*-linux-gnu/{name}", f"/usr/include/*/{name}")
    )


def _pkg_config_module(name: str) -> SoughtFile:
    return SoughtFile(f"{name}.pc", (f"*/pkgconfig/{name}.pc",))


def _cmake_package(name: str) -> SoughtFile:
    return SoughtFile(
        f"{name}Config.cmake", (f"*/cmake/*/{name}Config.cmake", f"*/cmake/*/{name.lower()}-config.cmake")
    )


def _library(names: str) -> SoughtFile:
    first = re.split(r"[,\s]+", names.strip())[0]
    if not first.startswith("lib"):
        first = f"lib{first}.so"
    return SoughtFile(first, (f"/usr/lib/*-linux-gnu/{first}", f"/usr/lib/{first}"))


def _program(name: str) -> SoughtFile:
    return SoughtFile(name, (f"/usr/bin/{name}", f"/bin/{name}", f"/usr/sbin/{name}"))


# What compilers, linkers, CMake and shells print when they lack a file that they can't do without.
_COMPLAINTS: tuple[tuple[str, Callable[[str], SoughtFile]], ...] = (
    (r"fatal error: (\S+): No such file or directory", _header),
    (r"CMake Error.*\n\s+Could NOT find PkgConfig", lambda _: _program("pkg-config")),
    (
        r"Package '(.+)', required by .*\n(?:--   Package .*\n)*"
        r"CMake Error.*\n\s+A required package was not found",
        _pkg_config_module,
    ),
    (r"CMake Error.*\(find_package\):\s+By not providing \"Find(.+)\.cmake\"", _cmake_package),
    (r"CMake Error.*\n\s+Could NOT find (?!PkgConfig)(\w+)", _cmake_package),
    (r"Could not find \w+ using the following names:\s+([^\n]+)", _library),
    (r"cannot find -l(\S+?):? ", _library),
    (r"sh: \d+: (\S+): not found", _program),
)


def sought_file(output: str) -> SoughtFile | None:
    """Returns the file whose lack `output` complains of first, or None where it complains of something else."""
    complaints = []
    for pattern, sought in _COMPLAINTS:
        found = re.search(pattern, output)
        if found:
            complaints.append((found.start(), sought(found[1] if found.re.groups else "")))
    return min(complaints, key=lambda complaint: complaint[0])[1] if complaints else None


def installed_owners(sought: SoughtFile) -> list[str]:
    """Returns the packages of this machine that have the sought file; none where it isn't installed here."""
    for pattern in sought.patterns:
        result = subprocess.run(
            ["dpkg-query", "--search", pattern], capture_output=True, text=True, check=False
        )
        owners: set[str] = set()
        for line in result.stdout.splitlines():
            packages, colon, _ = line.partition(": ")
            if colon and not packages.startswith("diversion "):
                owners.update(re.sub(r":\w+$", "", package) for package in packages.split(", "))
        if owners:
            return sorted(owners)
    return []


def first_error(output: str) -> str:
    """Returns the first line of `output` that looks like an error, or its last line."""
    lines = [line.strip() for line in output.splitlines() if line.strip()]
    for line in lines:
        if re.search(r"\berror\b", line, re.IGNORECASE):
            return line
    return lines[-1] if lines else "it printed nothing"
