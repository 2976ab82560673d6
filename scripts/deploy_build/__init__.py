"""Checks that the program builds with just the packages that the deploy file lists."""
