"""Exit codes of the operator commands, and the errors that only they raise."""

from __future__ import annotations

import attrs

from zincvale.model.errors import (
    NotConfirmedError,
    StartupError,
    UnavailableError,
    VersionConflictError,
    ZincvaleError,
)

EXIT_OK = 0
"""Done: a change is in force, a read was answered."""
EXIT_REFUSED = 1
"""Refused or invalid; nothing was changed."""
EXIT_USAGE = 2
"""The command line cannot be understood; nothing was sent."""
EXIT_NOT_CONFIRMED = 3
"""No core confirmed it in time; a change may or may not be in force: send the order again."""
EXIT_CONFLICT = 4
"""Another change won on the version that this one was built on; nothing was changed."""
EXIT_NOT_REACHED = 5
"""A condition that was waited for did not come to hold in time; the change is in force."""


@attrs.frozen
class UsageError(ZincvaleError):
    """The command line cannot be understood."""

    kind = "usage"
    http_status = 400


@attrs.frozen
class ConditionNotReachedError(ZincvaleError):
    """A watched condition did not come to hold in time."""

    kind = "not-reached"
    http_status = 503


def exit_code_of(error: ZincvaleError) -> int:
    """Return the exit code that tells a script what became of its command."""
    if isinstance(error, UsageError):
        return EXIT_USAGE
    if isinstance(error, VersionConflictError):
        return EXIT_CONFLICT
    if isinstance(error, ConditionNotReachedError):
        return EXIT_NOT_REACHED
    if isinstance(error, NotConfirmedError | UnavailableError):
        return EXIT_NOT_CONFIRMED
    if isinstance(error, StartupError):
        return EXIT_USAGE
    return EXIT_REFUSED
