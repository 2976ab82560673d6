"""Resolves and downloads Debian packages as a machine without any package would.

What this machine has installed doesn't count: apt is called with a state, an empty package status and a cache of
its own. Nothing is installed.
"""

import fcntl
import hashlib
import os
import re
import subprocess
from collections.abc import Iterable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from pathlib import Path

from .errors import CheckError

# For one call of apt. Resolving takes a second, the first download of all packages a quarter of a minute.
_APT_TIMEOUT_SECONDS = 600

# Stands for the packages that every Debian machine has.
ESSENTIAL = "?essential"


@dataclass(frozen=True, order=True)
class Package:
    """One version of a Debian package."""

    name: str
    version: str
    architecture: str
    sha256: str

    @property
    def archive_name(self) -> str:
        """The file name that apt gives the package in its cache; it holds name and version."""
        return f"{self.name}_{self.version.replace(':', '%3a')}_{self.architecture}.deb"


def default_cache() -> Path:
    """Where downloads are kept between runs."""
    if os.geteuid() == 0:
        return Path("/var/cache/knotvane-deploy-build")
    home = Path(os.environ.get("XDG_CACHE_HOME") or Path.home() / ".cache")
    return home / "knotvane-deploy-build"


class Registry:
    """The package registry that this machine's apt is set up for.

    `cache` is created where it is missing; several checks may share it. `apt_options` go with each call of apt.
    """

    def __init__(self, cache: Path, apt_options: Iterable[str] = ()):
        self._cache = cache
        self._archives = cache / "archives"
        # apt names the files of those packages alone that aren't in the folder of archives.
        self._no_archives = cache / "no-archives"
        empty_status = cache / "empty-status"
        try:
            for folder in (cache / "lists", self._archives, self._no_archives):
                (folder / "partial").mkdir(parents=True, exist_ok=True)
            empty_status.touch()
        except OSError as error:
            raise CheckError(
                f"{cache}: can't be written to ({error.strerror}); expected a folder for downloads"
            ) from error
        self._resolved: dict[tuple[str, ...], frozenset[Package]] = {}
        self._options = [
            f"-oDir::State={cache}",
            f"-oDir::State::lists={cache / 'lists'}",
            f"-oDir::State::status={empty_status}",
            f"-oDir::State::extended_states={cache / 'extended-states'}",
            f"-oDir::Cache={cache}",
            # Images of machines often turn these indices off; each call would make them anew.
            "-oDir::Cache::pkgcache=pkgcache.bin",
            "-oDir::Cache::srcpkgcache=srcpkgcache.bin",
            # Checks that share the cache wait for one another in _locked; apt would fail at once instead.
            "-oDebug::NoLocking=1",
            # The build must not come to rest on what is only recommended.
            "-oAPT::Install-Recommends=0",
            "-oAPT::Get::Assume-Yes=1",
            *apt_options,
        ]

    def refresh(self) -> None:
        """Fetches the lists of packages anew. Raises CheckError where the registry can't be reached."""
        self._resolved.clear()
        with self._locked():
            result = self._apt("update", "--error-on=any")
        if result.returncode != 0:
            raise CheckError(
                f"the package registry can't be reached: {_first_complaint(result)}; expected its lists"
            )

    def resolve(self, names: Iterable[str], source: str) -> frozenset[Package]:
        """Returns the named packages and all that they depend on. `source`: where the names stand, for errors."""
        wanted = tuple(names)
        if wanted not in self._resolved:
            self._resolved[wanted] = self._resolve(wanted, source)
        return self._resolved[wanted]

    def _resolve(self, names: tuple[str, ...], source: str) -> frozenset[Package]:
        # The plan tells MD5 unless it is told otherwise.
        options = [f"-oDir::Cache::archives={self._no_archives}", "-oAcquire::ForceHash=SHA256"]
        # Another process that fetches the lists anew replaces them file by file.
        with self._locked():
            result = self._apt("install", "--print-uris", *options, *names)
        if result.returncode == 0:
            return frozenset(_planned_downloads(result.stdout))
        unknown = re.search(r"(?:Unable to locate package|Package) '?([^\s']+)'?", result.stderr)
        if unknown:
            raise CheckError(
                f"{source}: the package registry has no package {unknown[1]}; expected a Debian package's name"
            )
        raise CheckError(f"{source}: the packages can't be installed together: {_first_complaint(result)}")

    def download(self, names: Iterable[str], packages: Iterable[Package]) -> dict[Package, Path]:
        """Downloads what `resolve` told for `names`, and returns each package's archive.

        An archive of an earlier run is used if it is whole.
        """
        archives = {package: self._archives / package.archive_name for package in packages}
        with self._locked():
            faulty = [archive for package, archive in archives.items() if not _is_whole(package, archive)]
            if not faulty:
                return archives
            for archive in faulty:
                # apt itself would go by the size of a file that is there.
                archive.unlink(missing_ok=True)
            result = self._apt(
                "install", "--download-only", f"-oDir::Cache::archives={self._archives}", *names
            )
        if result.returncode != 0:
            raise CheckError(
                f"the package registry can't be reached: {_first_complaint(result)}; expected the packages' files"
            )
        for package, archive in archives.items():
            if not _is_whole(package, archive):
                raise CheckError(
                    f"the package registry gave no whole {package.name} {package.version}; expected {archive.name}"
                )
        return archives

    def _apt(self, action: str, *arguments: str) -> subprocess.CompletedProcess:
        environment = {**os.environ, "LC_ALL": "C.UTF-8", "DEBIAN_FRONTEND": "noninteractive"}
        command = ["apt-get", "-q", *self._options, action, *arguments]
        try:
            return subprocess.run(
                command,
                env=environment,
                stdin=subprocess.DEVNULL,
                capture_output=True,
                text=True,
                timeout=_APT_TIMEOUT_SECONDS,
                check=False,
            )
        except FileNotFoundError as error:
            raise CheckError("apt-get: not on this machine; expected a Debian machine") from error
        except subprocess.TimeoutExpired as error:
            raise CheckError(
                f"the package registry can't be reached: no answer in {_APT_TIMEOUT_SECONDS} s; expected packages"
            ) from error

    @contextmanager
    def _locked(self) -> Iterator[None]:
        """Holds the cache for this process alone."""
        with open(self._cache / "lock", "w", encoding="utf-8") as lock:
            fcntl.flock(lock, fcntl.LOCK_EX)
            yield


def _planned_downloads(plan: str) -> Iterator[Package]:
    """Reads apt's plan. A line: 'URI' NAME_VERSION_ARCHITECTURE.deb SIZE SHA256:DIGEST"""
    for line in plan.splitlines():
        if not line.startswith("'"):
            continue
        planned = re.match(r"'\S+' ([^_ ]+)_([^_ ]+)_(\w+)\.deb \d+ SHA256:([0-9a-f]{64})$", line)
        if not planned:
            raise CheckError(f"apt-get: a line of another form than 'URI' FILE SIZE SHA256:DIGEST: {line}")
        yield Package(planned[1], planned[2].replace("%3a", ":"), planned[3], planned[4])


def _is_whole(package: Package, archive: Path) -> bool:
    """Whether the package's archive is there, with the content that the registry's list tells."""
    if not archive.is_file():
        return False
    with open(archive, "rb") as file:
        return hashlib.file_digest(file, "sha256").hexdigest() == package.sha256


def _first_complaint(result: subprocess.CompletedProcess) -> str:
    """Returns apt's first error, or its first warning where there is none."""
    complaints = [line for line in result.stderr.splitlines() if line.startswith(("E:", "W:"))]
    complaints.sort(key=lambda line: not line.startswith("E:"))
    return complaints[0] if complaints else f"apt-get ended with status {result.returncode}"
