"""Typed errors that reach operators and callers. Every message names the remedy.

Fields beside `problem` and `remedy` say what failed, for code and tests; they are in neither the
text nor the JSON body.
"""

from __future__ import annotations

import attrs


@attrs.frozen
class ZincvaleError(Exception):
    """Base of every error that reaches an operator or a caller.

    Attributes
    ----------
    problem : what is wrong, naming the resource and the field where there is one.
    remedy : what the reader can do about it.
    """

    problem: str
    remedy: str

    kind = "internal"
    http_status = 500

    def __str__(self) -> str:
        """Return the problem and its remedy in one line."""
        return f"{self.problem}; {self.remedy}"

    def to_json(self) -> dict[str, str]:
        """Return the body of an HTTP error response."""
        return {"kind": self.kind, "problem": self.problem, "remedy": self.remedy}


@attrs.frozen
class InvalidInputError(ZincvaleError):
    """A settings file, resource or request body fails a check; nothing was changed."""

    kind = "invalid"
    http_status = 422


@attrs.frozen
class MalformedBodyError(ZincvaleError):
    """A body is not what its content type says."""

    kind = "malformed"
    http_status = 400


@attrs.frozen
class BodyTooLargeError(ZincvaleError):
    """A body is larger than its documented limit.

    Attributes
    ----------
    size_bytes, limit_bytes : of the body, and the most that is taken; 0 when not known.
    """

    size_bytes: int = attrs.field(default=0, repr=False, kw_only=True)
    limit_bytes: int = attrs.field(default=0, repr=False, kw_only=True)

    kind = "too-large"
    http_status = 413


@attrs.frozen
class NotFoundError(ZincvaleError):
    """No such resource or path."""

    kind = "not-found"
    http_status = 404


@attrs.frozen
class VersionConflictError(ZincvaleError):
    """Another change won on the version this one was built on.

    Attributes
    ----------
    current_version : the version to build on now.
    """

    current_version: int = 0

    kind = "conflict"
    http_status = 409


@attrs.frozen
class NotConfirmedError(ZincvaleError):
    """The change may or may not be in force; it can be sent again safely with the same key."""

    kind = "not-confirmed"
    http_status = 503


@attrs.frozen
class UnavailableError(ZincvaleError):
    """The daemon cannot serve this now.

    Nothing was changed, except where a change of a document got no result from the core
    (`controlplane.documents.api`): its outcome is unknown, and it can be sent again.
    """

    kind = "unavailable"
    http_status = 503


@attrs.frozen
class WrongClusterError(ZincvaleError):
    """A message or data folder belongs to another cluster.

    Attributes
    ----------
    expected_cluster, actual_cluster : this process's cluster id, and the one that was found.
    """

    expected_cluster: str = attrs.field(default="", repr=False, kw_only=True)
    actual_cluster: str = attrs.field(default="", repr=False, kw_only=True)

    kind = "wrong-cluster"
    http_status = 421


@attrs.frozen
class StorageError(ZincvaleError):
    """A data folder cannot be read or written.

    Attributes
    ----------
    path : the folder or file.
    """

    path: str = attrs.field(default="", repr=False, kw_only=True)

    kind = "storage"
    http_status = 507


@attrs.frozen
class StartupError(ZincvaleError):
    """A daemon cannot start: an address is in use or a folder is not writable.

    Attributes
    ----------
    address : `ip:port` that cannot be listened on; empty for other causes.
    """

    address: str = attrs.field(default="", repr=False, kw_only=True)

    kind = "start"
    http_status = 500
