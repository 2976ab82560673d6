"""Tells what a finished build has read: files of a system root, files outside of it, headers the sources name."""

import re
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path

from .registry import Package
from .sysroot import Sysroot

# Files in a build folder of CMake's Makefile generator that name what the build read: the compiler's dependency
# files, what configuring read and found, and the linker's command lines.
_RECORDS = ("*.d", "Makefile.cmake", "CMakeCache.txt", "link.txt")

# Of these every file named was read; the others name folders and files that were only looked at, too.
_RECORDS_OF_INPUTS = ("*.d", "Makefile.cmake", "link.txt")

_SYSTEM_INCLUDE = re.compile(r"^[ \t]*#[ \t]*include[ \t]*<([^>]+)>", re.MULTILINE)


@dataclass(frozen=True)
class Include:
    """A header that a source file of the project includes, and the package that has it."""

    source: Path
    header: str
    package: Package


class BuildUsage:
    """What the build of the sources at `source`, in the folder `build`, has read from `sysroot`."""

    def __init__(self, source: Path, build: Path, sysroot: Sysroot):
        self._source = source
        self._build = build
        self._sysroot = sysroot

    def packages(self) -> set[Package]:
        """The packages of which the build has read a file."""
        owners = {self._sysroot.owner(path) for path in self._recorded(_RECORDS)}
        return {owner for owner in owners if owner is not None}

    def foreign_files(self) -> list[Path]:
        """The files that the build has read from neither the sources nor the system root, nor made itself."""
        return sorted(
            path
            for path in self._recorded(_RECORDS_OF_INPUTS)
            if not path.is_relative_to(self._source) and not self._sysroot.contains(path) and path.is_file()
        )

    def includes(self) -> list[Include]:
        """The headers of packages that the compiled sources and their own headers include by name."""
        read = {path for path in self._recorded(("*.d",))}
        sources = sorted(path for path in read if path.is_relative_to(self._source) and path.is_file())
        owners = {path: self._sysroot.owner(path) for path in read}
        found = []
        for source in sources:
            for header in _SYSTEM_INCLUDE.findall(source.read_text(encoding="utf-8", errors="replace")):
                owner = self._header_owner(header, owners)
                if owner is not None:
                    found.append(Include(source.relative_to(self._source), header, owner))
        return found

    def _header_owner(self, header: str, owners: dict[Path, Package | None]) -> Package | None:
        """The package of the file that the header's name stands for: at the shortest path that ends in it."""
        paths = [
            path for path, owner in owners.items() if owner is not None and str(path).endswith(f"/{header}")
        ]
        return owners[min(paths, key=lambda path: (len(path.parts), path))] if paths else None

    def _recorded(self, records: tuple[str, ...]) -> Iterator[Path]:
        """The absolute paths that the records name."""
        seen: set[str] = set()
        for pattern in records:
            for record in self._build.rglob(pattern):
                seen.update(
                    re.findall(r"/[^\s\"';:\\\[\]()]+", record.read_text(encoding="utf-8", errors="replace"))
                )
        return (Path(path) for path in sorted(seen))
