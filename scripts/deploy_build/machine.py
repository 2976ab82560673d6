"""Runs commands as a machine would that has a system root's programs, headers and libraries, and no others.

Nothing is isolated: the commands' environment points at the system root. docs/design/deploy-build.md says how far
that carries.
"""

import os
import pwd
import re
import shlex
import subprocess
from dataclasses import dataclass
from pathlib import Path

from .errors import CheckError
from .sysroot import Sysroot

# The account of Debian's base system that owns no files.
_ORDINARY_USER = "nobody"

# Its own files stay those of this machine: a loader and a C library of different builds don't go together.
_C_LIBRARY_PACKAGE = "libc6"

_LOADER_NAME_PREFIX = "ld-linux"


@dataclass(frozen=True)
class Outcome:
    """How a command ended. `status` is None where it was ended at its time limit.

    `stdout` holds both streams, and `stderr` nothing, where they were asked for together.
    """

    status: int | None
    stdout: bytes
    stderr: bytes

    @property
    def output(self) -> str:
        """All that was printed, as text."""
        return (self.stdout + self.stderr).decode("utf-8", "replace")


class Machine:
    """A stand-in for a new machine: a system root, and a home and a temporary folder beneath `folder`.

    Commands run as an ordinary user. Where this process isn't root its own user is taken.
    """

    def __init__(self, folder: Path, sysroot: Sysroot):
        self._sysroot = sysroot
        self._folder = folder
        self._account = _ordinary_account()
        self._home = self.own_folder("home")
        self._temporary = self.own_folder("tmp")
        self._libraries = folder / "libraries"
        self._libraries.mkdir()
        self._toolchain = sysroot.path / "toolchain.cmake"
        self._toolchain.write_text(_toolchain_file(sysroot.path), encoding="utf-8")
        self.refresh_libraries()

    @property
    def user(self) -> str:
        """The name of the user that runs the commands."""
        return self._account.pw_name

    def own_folder(self, name: str) -> Path:
        """Makes a folder that the user of the commands may write to."""
        folder = self._folder / name
        folder.mkdir()
        os.chown(folder, self._account.pw_uid, self._account.pw_gid)
        return folder

    def refresh_libraries(self) -> None:
        """Takes in shared libraries that the system root got after the machine was made."""
        own = {path.name for path in self._sysroot.paths_of(_C_LIBRARY_PACKAGE)}
        for library in (self._sysroot.path / "usr/lib").glob("*-linux-gnu*/*.so*"):
            link = self._libraries / library.name
            if library.name not in own and not link.is_symlink():
                link.symlink_to(library)

    def run(
        self, command: str, folder: Path, seconds: float, stdin: bytes = b"", together: bool = False
    ) -> Outcome:
        """Runs a shell command in `folder` for at most `seconds`, after which it and its children are killed.

        `together`: takes both streams of its output as one.
        """
        as_user = self._as_user()
        with subprocess.Popen(
            ["/bin/sh", "-c", command],
            cwd=folder,
            env=self._environment(),
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT if together else subprocess.PIPE,
            start_new_session=True,
            **as_user,
        ) as process:
            try:
                stdout, stderr = process.communicate(stdin, timeout=seconds)
                return Outcome(process.returncode, stdout, stderr or b"")
            except subprocess.TimeoutExpired:
                os.killpg(process.pid, 9)
                stdout, stderr = process.communicate()
                return Outcome(None, stdout, stderr or b"")

    def shared_libraries(self, program: Path) -> dict[str, Path | None]:
        """Returns where each shared library of `program` is found, or None where it isn't."""
        loader = self._loader()
        search = ":".join(
            str(folder) for folder in sorted((self._sysroot.path / "usr/lib").glob("*-linux-gnu*"))
        )
        listing = self.run(
            shlex.join([str(loader), "--inhibit-cache", "--library-path", search, "--list", str(program)]),
            program.parent,
            20,
        )
        # The loader stops at the first library that it doesn't find.
        lacking = re.search(r"error while loading shared libraries: (.+?): cannot open", listing.output)
        if lacking:
            return {lacking[1]: None}
        found: dict[str, Path | None] = {}
        for line in listing.output.splitlines():
            name, arrow, place = line.strip().partition(" => ")
            if arrow:
                found[name] = Path(place.split(" (")[0])
        if not found:
            raise CheckError(
                f"{program}: its shared libraries can't be listed: {listing.output.strip()}; expected a program"
            )
        return found

    def _loader(self) -> Path:
        """Returns the C library's loader of shared libraries. Each architecture has another name and folder for it."""
        loaders = [
            path
            for path in self._sysroot.paths_of(_C_LIBRARY_PACKAGE)
            if path.name.startswith(_LOADER_NAME_PREFIX) and path.is_file()
        ]
        if not loaders:
            raise CheckError(
                f"{self._sysroot.path}: no loader of shared libraries; expected {_C_LIBRARY_PACKAGE} to bring it"
            )
        return min(loaders)

    def _environment(self) -> dict[str, str]:
        """The whole environment of the commands; nothing of this process's own is passed on."""
        root = self._sysroot.path
        module_folders = [
            *sorted((root / "usr/lib").glob("*-linux-gnu*")),
            root / "usr/lib",
            root / "usr/share",
        ]
        return {
            "PATH": f"{root}/usr/bin:{root}/usr/sbin",
            "LD_LIBRARY_PATH": str(self._libraries),
            "HOME": str(self._home),
            "TMPDIR": str(self._temporary),
            "LANG": "C.UTF-8",
            "CMAKE_TOOLCHAIN_FILE": str(self._toolchain),
            "PKG_CONFIG_LIBDIR": ":".join(str(folder / "pkgconfig") for folder in module_folders),
            "PKG_CONFIG_SYSROOT_DIR": str(root),
        }

    def _as_user(self) -> dict:
        if os.geteuid() != 0 or self._account.pw_uid == 0:
            return {}
        return {"user": self._account.pw_uid, "group": self._account.pw_gid, "extra_groups": []}


def _ordinary_account() -> pwd.struct_passwd:
    """The user to run commands as: this process's own, or an ordinary one where that is root."""
    if os.geteuid() == 0:
        try:
            return pwd.getpwnam(_ORDINARY_USER)
        except KeyError:
            pass
    return pwd.getpwuid(os.geteuid())


def _toolchain_file(root: Path) -> str:
    """A CMake tool chain that compiles with the root's compiler and finds nothing outside the root."""
    return f"""\
set(CMAKE_C_COMPILER "{root}/usr/bin/gcc")
set(CMAKE_CXX_COMPILER "{root}/usr/bin/g++")
set(CMAKE_SYSROOT "{root}")
set(CMAKE_FIND_ROOT_PATH_MODE_PROGRAM ONLY)
set(CMAKE_FIND_ROOT_PATH_MODE_LIBRARY ONLY)
set(CMAKE_FIND_ROOT_PATH_MODE_INCLUDE ONLY)
set(CMAKE_FIND_ROOT_PATH_MODE_PACKAGE ONLY)
"""
