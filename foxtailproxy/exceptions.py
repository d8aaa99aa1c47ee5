"""The errors that the command line prints as one line, and their exit codes."""

from __future__ import annotations

import click


class FoxtailproxyError(click.ClickException):
    """Base of all errors that a user may meet; `exit_code` is the status of the program."""

    exit_code = 1


class SettingsError(FoxtailproxyError):
    """A file does not hold valid settings; `problems` lists every one found."""

    exit_code = 3

    def __init__(self, source: str, problems: list[object]) -> None:
        self.problems = problems
        lines = "".join(f"\n  {problem}" for problem in problems)
        super().__init__(f"{source}: {len(problems)} invalid setting(s){lines}")


class FileError(FoxtailproxyError):
    """A file cannot be read."""

    exit_code = 3


class ConflictError(FoxtailproxyError):
    """Another operator's change was accepted first."""

    exit_code = 4


class UnreachableError(FoxtailproxyError):
    """A node or the platform did not answer."""

    exit_code = 5


class ResponseError(FoxtailproxyError):
    """A node or the platform answered with an error."""

    exit_code = 6
