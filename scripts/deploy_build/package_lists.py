"""Reads the lists of Debian packages: the deploy file's, and those that the setup adds to them.

Each reader returns a whole, checked list or raises CheckError; there is no list in between.
"""

import re
import tomllib
from dataclasses import dataclass
from pathlib import Path

from .errors import CheckError

# The files, from the repository's root.
DEPLOY_FILE = Path("deploy/balancer.toml")
SETUP_FILE = Path("scripts/packages.toml")

# Debian policy, 5.6.1: lower case letters, digits, plus, minus and dot; at least two, the first a letter or digit.
_PACKAGE_NAME = re.compile(r"[a-z0-9][a-z0-9+.-]+")

_EXPECTED_LIST = "expected one list of Debian package names in quotes"
_EXPECTED_COMMAND = "expected one shell command in quotes"


@dataclass(frozen=True)
class DeployFile:
    """The keys of the deploy file that the check uses. `name` is what messages call the file."""

    name: str
    build: str
    run: str
    sim: str
    packages: tuple[str, ...]


@dataclass(frozen=True)
class SetupLists:
    """The packages that the setup adds: the tool chain, and what tests, fuzzers and measurements need."""

    tool_chain: tuple[str, ...]
    further: tuple[str, ...]


def parse_deploy_file(content: bytes, name: str) -> DeployFile:
    """Returns the commands and packages of a deploy file with that content."""
    table = _parse(content, name, ["packages"], _EXPECTED_LIST)
    packages = _package_list(name, table, "packages")
    return DeployFile(
        name=name,
        build=_command(name, table, "build"),
        run=_command(name, table, "run"),
        sim=_command(name, table, "sim"),
        packages=packages,
    )


def read_deploy_file(path: Path) -> DeployFile:
    """Returns the commands and packages of the deploy file at `path`."""
    return parse_deploy_file(_read(path, "packages", _EXPECTED_LIST), str(path))


def read_setup_lists(path: Path) -> SetupLists:
    """Returns the lists of the setup's own file at `path`."""
    keys = ["tool_chain", "further"]
    table = _parse(_read(path, keys[0], _EXPECTED_LIST), str(path), keys, _EXPECTED_LIST)
    return SetupLists(
        tool_chain=_package_list(str(path), table, "tool_chain"),
        further=_package_list(str(path), table, "further"),
    )


def all_packages(root: Path) -> tuple[str, ...]:
    """Returns what the setup installs for the repository at `root`; each package has to be named once."""
    listed = read_deploy_file(root / DEPLOY_FILE).packages
    setup = read_setup_lists(root / SETUP_FILE)
    names: set[str] = set(listed)
    for key, packages in (("tool_chain", setup.tool_chain), ("further", setup.further)):
        for name in packages:
            if name in names:
                raise CheckError(
                    f"{root / SETUP_FILE}: {key}: {name} is named elsewhere already; "
                    f"expected each package in one list of {DEPLOY_FILE} and {SETUP_FILE}"
                )
            names.add(name)
    return listed + setup.tool_chain + setup.further


def _read(path: Path, key: str, expected: str) -> bytes:
    """Reads the file of which the caller needs `key`."""
    try:
        return path.read_bytes()
    except OSError as error:
        raise CheckError(f"{path}: {key}: cannot be read ({error.strerror}); {expected}") from error


def _parse(content: bytes, name: str, keys: list[str], expected: str) -> dict:
    """Parses a file's content; `keys` are those that the caller needs first and that an error names."""
    try:
        text = content.decode("utf-8")
    except UnicodeDecodeError as error:
        raise CheckError(f"{name}: {keys[0]}: not UTF-8 text; {expected}") from error
    try:
        return tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        for key in keys:
            if len(re.findall(rf"^[ \t]*[\"']?{key}[\"']?[ \t]*=", text, re.MULTILINE)) > 1:
                raise CheckError(f"{name}: {key}: stands twice; {expected}") from error
        raise CheckError(f"{name}: {', '.join(keys)}: not TOML, {error}; {expected}") from error


def _value(name: str, table: dict, key: str, expected: str):
    if key not in table:
        raise CheckError(f"{name}: {key}: missing; {expected}")
    return table[key]


def _command(name: str, table: dict, key: str) -> str:
    value = _value(name, table, key, _EXPECTED_COMMAND)
    if not isinstance(value, str) or not value.strip():
        raise CheckError(f"{name}: {key}: empty or not a string; {_EXPECTED_COMMAND}")
    return value


def _package_list(file_name: str, table: dict, key: str) -> tuple[str, ...]:
    value = _value(file_name, table, key, _EXPECTED_LIST)
    if not isinstance(value, list) or not value:
        raise CheckError(f"{file_name}: {key}: empty or not a list; {_EXPECTED_LIST}")
    seen: set[str] = set()
    for name in value:
        if not isinstance(name, str) or not _PACKAGE_NAME.fullmatch(name):
            raise CheckError(f"{file_name}: {key}: {name!r} is no package's name; {_EXPECTED_LIST}")
        if name in seen:
            raise CheckError(f"{file_name}: {key}: {name} is listed twice; expected each package once")
        seen.add(name)
    return tuple(value)
