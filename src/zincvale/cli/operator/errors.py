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
"""The command succeeded: a change is in force, or a read returned its result."""
EXIT_REFUSED = 1
"""The command was refused or invalid; nothing was changed."""
EXIT_USAGE = 2
"""The command line cannot be understood; nothing was sent."""
EXIT_NOT_CONFIRMED = 3
"""No core confirmed in time; a change may or may not be in force: send the same order again."""
EXIT_CONFLICT = 4
"""The version that the change is based on is no longer current; nothing was changed."""
EXIT_NOT_REACHED = 5
"""A condition that was waited for was not true in time; the change itself is in force."""


@attrs.frozen
class UsageError(ZincvaleError):
    """The command line cannot be understood."""

    kind = "usage"
    http_status = 400


@attrs.frozen
class ConditionNotReachedError(ZincvaleError):
    """A condition that was waited for was not true in time."""

    kind = "not-reached"
    http_status = 503


def exit_code_of(error: ZincvaleError) -> int:
    """Return the exit code that tells a script how its command ended."""
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
