"""The check of the deploy build: a commit's sources, built and started with the deploy file's packages alone."""

import shutil
import subprocess
import sys
import time
from collections.abc import Iterable
from pathlib import Path

from . import diagnosis, programs
from .errors import CheckError
from .machine import Machine
from .package_lists import DEPLOY_FILE, DeployFile, SetupLists, parse_deploy_file
from .registry import ESSENTIAL, Package, Registry
from .sysroot import PackageStore, Sysroot
from .usage import BuildUsage

# The deploy page gives `build` twenty minutes.
_BUILD_SECONDS = 20 * 60

# Where `build` puts what it makes, and the build system its records.
_BUILD_FOLDER = "build"


class DeployBuildCheck:
    """Checks deploy files against one commit of the sources.

    `store` keeps unpacked packages and may serve several checks. `workspace` is a folder on the same file system,
    which every user may enter; the caller removes both.
    """

    def __init__(
        self,
        repository: Path,
        commit: str,
        registry: Registry,
        setup: SetupLists,
        store: PackageStore,
        workspace: Path,
    ):
        self._repository = repository
        self._commit = commit
        self._registry = registry
        self._setup = setup
        self._workspace = workspace
        self._store = store
        self._checked = 0

    def deploy_file(self) -> DeployFile:
        """Reads the commit's own deploy file."""
        return parse_deploy_file(self._git("show", f"{self._commit}:{DEPLOY_FILE}"), str(DEPLOY_FILE))

    def check(self, deploy: DeployFile) -> None:
        """Runs the whole check, or raises CheckError at the first fault."""
        self._checked += 1
        folder = self._workspace / f"machine-{self._checked}"
        folder.mkdir()
        try:
            self._check_in(folder, deploy)
        finally:
            shutil.rmtree(folder)

    def _check_in(self, folder: Path, deploy: DeployFile) -> None:
        closure = self._resolve(deploy, deploy.packages)
        sysroot = Sysroot(folder / "root", self._store)
        self._install(deploy, deploy.packages, closure, sysroot)
        machine = Machine(folder, sysroot)
        source = self._export_sources(machine)
        self._build(deploy, source, machine, f"{len(closure)} packages")
        built = self._check_programs(deploy, source, machine, sysroot)
        self._check_usage(deploy, BuildUsage(source, source / _BUILD_FOLDER, sysroot), closure)
        self._check_same_with_further(deploy, source, machine, sysroot, built)

    def _resolve(self, deploy: DeployFile, packages: Iterable[str]) -> frozenset[Package]:
        return self._registry.resolve(self._names(packages), f"{deploy.name}: packages")

    def _names(self, packages: Iterable[str]) -> list[str]:
        return [ESSENTIAL, *self._setup.tool_chain, *packages]

    def _install(
        self, deploy: DeployFile, packages: Iterable[str], closure: frozenset[Package], sysroot: Sysroot
    ) -> None:
        self._store.add(self._registry.download(self._names(packages), closure))
        sysroot.add(closure)

    def _export_sources(self, machine: Machine) -> Path:
        """Lays out the commit's files for the machine's user."""
        source = machine.own_folder("source")
        archive = self._git("archive", "--format=tar", self._commit)
        outcome = machine.run("tar -x", source, _BUILD_SECONDS, archive)
        if outcome.status != 0:
            raise CheckError(
                f"{self._commit}: its files can't be laid out: {outcome.output.strip()}; expected a commit"
            )
        return source

    def _build(self, deploy: DeployFile, source: Path, machine: Machine, what: str) -> None:
        started = time.monotonic()
        outcome = machine.run(deploy.build, source, _BUILD_SECONDS, together=True)
        if outcome.status is None:
            raise CheckError(f"{deploy.name}: build: no end in {_BUILD_SECONDS} s; expected one by then")
        if outcome.status != 0:
            raise CheckError(_explain_failure(deploy, outcome.output))
        _tell(f"built as {machine.user} with {what} in {time.monotonic() - started:.0f} s")

    def _check_programs(
        self, deploy: DeployFile, source: Path, machine: Machine, sysroot: Sysroot
    ) -> dict[Path, bytes]:
        """Checks the programs of `run` and `sim`, and returns their contents."""
        contents = {}
        for key, command in (("run", deploy.run), ("sim", deploy.sim)):
            name = programs.program_of(command, key, deploy)
            if not (source / name).is_file():
                raise CheckError(
                    f"{deploy.name}: {key}: {name} is not there after the build; expected `build` to make it"
                )
            programs.check_libraries(source / name, machine, sysroot)
            contents[name] = (source / name).read_bytes()
        programs.check_run(deploy, source, machine)
        programs.check_sim(deploy, source, machine)
        return contents

    def _check_usage(self, deploy: DeployFile, usage: BuildUsage, closure: frozenset[Package]) -> None:
        foreign = usage.foreign_files()
        if foreign:
            raise CheckError(
                f"{deploy.name}: build: it read {foreign[0]}; expected files of the listed packages alone"
            )
        self._check_explicit(deploy, usage)
        self._check_needed(deploy, usage.packages(), closure)

    def _check_explicit(self, deploy: DeployFile, usage: BuildUsage) -> None:
        """Checks that what the sources include is listed itself, not only brought by another package."""
        granted = {package.name for package in self._resolve(deploy, ())} | set(deploy.packages)
        for include in usage.includes():
            if include.package.name not in granted:
                raise CheckError(
                    f"{deploy.name}: packages: {include.source} includes {include.header}, which "
                    f"{include.package.name} has; it is there only because another package depends on it, and "
                    "belongs into `packages`"
                )

    def _check_needed(self, deploy: DeployFile, used: set[Package], closure: frozenset[Package]) -> None:
        """Checks that the build read files that each listed package has, or that it alone brings."""
        used_names = {package.name for package in used}
        for name in deploy.packages:
            if name in used_names:
                continue
            without = self._resolve(deploy, [other for other in deploy.packages if other != name])
            if not (closure - without) & used:
                raise CheckError(
                    f"{deploy.name}: packages: {name} is listed, but the build reads nothing of it; "
                    "expected what the build needs alone"
                )

    def _check_same_with_further(
        self, deploy: DeployFile, source: Path, machine: Machine, sysroot: Sysroot, built: dict[Path, bytes]
    ) -> None:
        """Builds again, in the same place, on a machine that has the setup's further packages as well."""
        packages = [*deploy.packages, *self._setup.further]
        closure = self._resolve(deploy, packages)
        self._install(deploy, packages, closure, sysroot)
        machine.refresh_libraries()
        shutil.rmtree(source / _BUILD_FOLDER)
        self._build(deploy, source, machine, f"the setup's further ones, {len(closure)} packages in all,")
        for name, content in built.items():
            if (source / name).read_bytes() != content:
                raise CheckError(
                    f"{deploy.name}: build: {name} differs where {' '.join(self._setup.further)} are installed; "
                    "expected the same program"
                )

    def _git(self, *arguments: str) -> bytes:
        result = subprocess.run(
            ["git", "-C", str(self._repository), *arguments], capture_output=True, check=False
        )
        if result.returncode != 0:
            complaint = result.stderr.decode("utf-8", "replace").strip().splitlines()
            raise CheckError(
                f"{self._repository}: {complaint[0] if complaint else 'git failed'}; expected a git checkout"
            )
        return result.stdout


def _explain_failure(deploy: DeployFile, output: str) -> str:
    """Says in one line why the build failed: which file it sought, where that can be told, and who has it."""
    sought = diagnosis.sought_file(output)
    if sought is None:
        return f"{deploy.name}: build: {diagnosis.first_error(output)}; expected it to succeed"
    owners = diagnosis.installed_owners(sought)
    if not owners:
        return (
            f"{deploy.name}: packages: the build sought {sought.name}, which no package on this machine has; "
            "the package that has it belongs into `packages`"
        )
    return (
        f"{deploy.name}: packages: the build sought {sought.name}, which {' or '.join(owners)} has; "
        "it belongs into `packages`"
    )


def _tell(text: str) -> None:
    print(f"deploy build: {text}", file=sys.stderr, flush=True)
