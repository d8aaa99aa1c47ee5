"""The errors that the command line prints as one line, with their exit codes."""

from __future__ import annotations

import click


class FoxtailproxyError(click.ClickException):
    """The base of all errors reported to users; `exit_code` is the exit status of the program."""

    exit_code = 1


class SettingsError(FoxtailproxyError):
    """A file with invalid settings; `problems` lists every problem found."""

    exit_code = 3

    def __init__(self, source: str, problems: list[object]) -> None:
        self.problems = problems
        lines = "".join(f"\n  {problem}" for problem in problems)
        super().__init__(f"{source}: {len(problems)} invalid setting(s){lines}")


class FileError(FoxtailproxyError):
    """A file that cannot be read."""

    exit_code = 3


class ConflictError(FoxtailproxyError):
    """A conflict with another operator's change, which was accepted first."""

    exit_code = 4


class UnreachableError(FoxtailproxyError):
    """A node or platform that did not answer."""

    exit_code = 5


class ResponseError(FoxtailproxyError):
    """A response of a node or the platform that is an error or cannot be decoded."""

    exit_code = 6
