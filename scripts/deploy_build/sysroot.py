"""Lays out Debian packages in a folder, without installing them: a system root with these packages alone."""

import os
import subprocess
from collections.abc import Iterable
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path, PurePosixPath

from .errors import CheckError
from .registry import Package

# Debian 12 keeps these beneath /usr and links to them from the root.
_MERGED_INTO_USR = ("bin", "sbin", "lib", "lib32", "lib64", "libx32")


class PackageStore:
    """Unpacks each package once, into a folder of its own beneath `root`, for any number of system roots."""

    def __init__(self, root: Path):
        self._root = root
        root.mkdir(parents=True, exist_ok=True)

    def add(self, archives: dict[Package, Path]) -> None:
        """Unpacks those packages that are not there yet."""
        missing = [
            (package, archive) for package, archive in archives.items() if not self.folder(package).exists()
        ]
        with ThreadPoolExecutor(os.cpu_count()) as pool:
            list(pool.map(lambda entry: self._unpack(*entry), missing))

    def folder(self, package: Package) -> Path:
        """Where the package's files are."""
        return self._root / package.archive_name.removesuffix(".deb")

    def _unpack(self, package: Package, archive: Path) -> None:
        folder = self.folder(package)
        unfinished = folder.with_name(folder.name + ".unfinished")
        result = subprocess.run(
            ["dpkg-deb", "--extract", str(archive), str(unfinished)],
            capture_output=True,
            text=True,
            check=False,
        )
        if result.returncode != 0:
            raise CheckError(
                f"{archive}: can't be unpacked: {result.stderr.strip()}; expected a Debian package"
            )
        unfinished.rename(folder)


class Sysroot:
    """A system root at `path` made of unpacked packages, which knows the package of each of its files.

    Files are hard links to the store's. Symbolic links to absolute paths are made relative, to stay within.
    """

    def __init__(self, path: Path, store: PackageStore):
        self.path = path
        self._store = store
        self._packages: set[Package] = set()
        self._owners: dict[PurePosixPath, Package] = {}
        for name in _MERGED_INTO_USR:
            (path / "usr" / name).mkdir(parents=True, exist_ok=True)
            (path / name).symlink_to(Path("usr") / name)

    def add(self, packages: Iterable[Package]) -> None:
        """Adds those of the packages that the root doesn't have; the store has to have them."""
        for package in sorted(packages):
            if package not in self._packages:
                self._packages.add(package)
                self._link_tree(package)

    def owner(self, path: Path) -> Package | None:
        """The package whose file stands at `path`, a path with the root in front, and perhaps with `..` in it."""
        inside = self._inside(path)
        return self._owners.get(inside) if inside else None

    def contains(self, path: Path) -> bool:
        """Whether `path` lies within the root."""
        return self._inside(path) is not None

    def paths_of(self, package_name: str) -> list[Path]:
        """The files of the package of that name, within the root."""
        return [self.path / path for path, package in self._owners.items() if package.name == package_name]

    def _inside(self, path: Path) -> PurePosixPath | None:
        try:
            inside = Path(os.path.normpath(path)).relative_to(self.path)
        except ValueError:
            return None
        return _merged(PurePosixPath(inside))

    def _link_tree(self, package: Package) -> None:
        folder = self._store.folder(package)
        for parent, directories, files in os.walk(folder):
            target_parent = _merged(PurePosixPath(Path(parent).relative_to(folder)))
            (self.path / target_parent).mkdir(parents=True, exist_ok=True)
            links = [name for name in directories if (Path(parent) / name).is_symlink()]
            for name in files + links:
                self._link(Path(parent) / name, target_parent / name, package)

    def _link(self, source: Path, target: PurePosixPath, package: Package) -> None:
        if target in self._owners:
            return
        self._owners[target] = package
        place = self.path / target
        if not source.is_symlink():
            os.link(source, place)
            return
        destination = os.readlink(source)
        if destination.startswith("/"):
            destination = os.path.relpath(f"{self.path}{destination}", place.parent)
        place.symlink_to(destination)


def _merged(path: PurePosixPath) -> PurePosixPath:
    """Returns the path that a file has where /bin, /lib and the like are links into /usr."""
    if path.parts and path.parts[0] in _MERGED_INTO_USR:
        return PurePosixPath("usr") / path
    return path
