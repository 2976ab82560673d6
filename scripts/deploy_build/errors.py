"""The error that ends a check or the setup: one line that says what, where, and what was expected."""


class CheckError(Exception):
    """A failure that its message tells whole, on one line.

    Whoever catches it prints it and exits with status 1.
    """
