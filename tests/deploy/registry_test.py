"""The package registry as apt sees it, with this machine's packages left out of account."""

from tests.deploy.helpers import FolderTest

from deploy_build.registry import Registry, default_cache

# Nothing listens on loopback's port 1.
NOWHERE = "deb [trusted=yes] http://127.0.0.1:1/debian bookworm main\n"


class RegistryTest(FolderTest):
    def test_one_that_cannot_be_reached_is_a_failure_of_its_own_words(self):
        # Guards against a check that passes, or blames a package, because it heard nothing.
        sources = self.folder / "sources.list"
        sources.write_text(NOWHERE, encoding="utf-8")
        options = [f"-oDir::Etc::sourcelist={sources}", "-oDir::Etc::sourceparts=-", "-oAcquire::Retries=0"]
        registry = Registry(self.folder / "cache", options)
        self.assert_refused(registry.refresh, "the package registry can't be reached", "127.0.0.1")

    def test_a_cache_that_cannot_be_written_is_named(self):
        place = self.folder / "file"
        place.touch()
        self.assert_refused(lambda: Registry(place), f"{place}: can't be written to", "expected a folder")

    def test_dependencies_are_told_whatever_is_installed(self):
        registry = Registry(default_cache())
        registry.refresh()
        names = {package.name for package in registry.resolve(["libmsgpack-cxx-dev"], "here")}
        self.assertIn("libmsgpack-cxx-dev", names)
        self.assertIn("libboost-dev", names)
        self.assertNotIn("doctest-dev", names)

    def test_recommendations_are_left_out(self):
        registry = Registry(default_cache())
        registry.refresh()
        # cmake recommends make and gcc.
        names = {package.name for package in registry.resolve(["cmake"], "here")}
        self.assertNotIn("make", names)
        self.assertNotIn("gcc", names)

    def test_a_package_that_it_does_not_have_is_named(self):
        registry = Registry(default_cache())
        registry.refresh()
        self.assert_refused(
            lambda: registry.resolve(["zlib1g-dev", "no-such-package-dev"], "deploy.toml: packages"),
            "deploy.toml: packages: the package registry has no package no-such-package-dev",
            "expected",
        )

    def test_a_kept_download_that_was_changed_is_fetched_again(self):
        # Guards against a verdict that rests on a broken file of an earlier run.
        registry = Registry(self.folder / "cache")
        registry.refresh()
        packages = registry.resolve(["pkgconf-bin"], "here")
        archives = registry.download(["pkgconf-bin"], packages)
        archive = next(place for package, place in archives.items() if package.name == "pkgconf-bin")
        whole = archive.read_bytes()
        archive.write_bytes(b"x" * len(whole))
        registry.download(["pkgconf-bin"], packages)
        self.assertEqual(archive.read_bytes(), whole)
