"""The list of packages that clang-tidy passes over: it only shrinks."""

import unittest
from pathlib import Path

from tests.lint.frozen_exceptions import FROZEN

REPOSITORY = Path(__file__).resolve().parents[2]


def listed_packages() -> list[str]:
    """Returns the entries of the list as they stand in it."""
    lines = (REPOSITORY / "scripts/lint-exceptions.txt").read_text(encoding="utf-8").splitlines()
    return [line for line in lines if line and not line.startswith("#")]


class ExceptionsTest(unittest.TestCase):
    def test_nothing_joins_the_list(self):
        self.assertEqual([package for package in listed_packages() if package not in FROZEN], [])

    def test_each_is_there(self):
        # Guards against an entry that outlives its package and would except the next one of that name.
        absent = [package for package in listed_packages() if not (REPOSITORY / package).exists()]
        self.assertEqual(absent, [])

    def test_each_is_a_package_by_itself(self):
        # Guards against an entry that excepts all of src, or that lint would read as something else.
        self.assertEqual([package for package in listed_packages() if package.count("/") != 1], [])

    def test_each_stands_once_and_in_order(self):
        self.assertEqual(listed_packages(), sorted(set(listed_packages())))
