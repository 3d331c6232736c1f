"""Typed errors that reach operators and callers; every message contains a remedy.

Fields other than `problem` and `remedy` are for code and tests; they appear neither in the text nor
in the JSON body.
"""

from __future__ import annotations

import attrs


@attrs.frozen
class ZincvaleError(Exception):
    """Base of every error that reaches an operator or a caller.

    Attributes
    ----------
    problem : what is wrong; names the resource and the field, if there is one.
    remedy : what the reader can do about the problem.
    """

    problem: str
    remedy: str

    kind = "internal"
    http_status = 500

    def __str__(self) -> str:
        """Return the problem and the remedy in one line."""
        return f"{self.problem}; {self.remedy}"

    def to_json(self) -> dict[str, str]:
        """Return the body of an HTTP error response."""
        return {"kind": self.kind, "problem": self.problem, "remedy": self.remedy}


@attrs.frozen
class InvalidInputError(ZincvaleError):
    """A settings file, resource or request body is invalid; nothing was changed."""

    kind = "invalid"
    http_status = 422


@attrs.frozen
class MalformedBodyError(ZincvaleError):
    """A body does not match its content type."""

    kind = "malformed"
    http_status = 400


@attrs.frozen
class BodyTooLargeError(ZincvaleError):
    """A body is larger than its documented limit.

    Attributes
    ----------
    size_bytes, limit_bytes : size of the body and the accepted maximum; 0 when unknown.
    """

    size_bytes: int = attrs.field(default=0, repr=False, kw_only=True)
    limit_bytes: int = attrs.field(default=0, repr=False, kw_only=True)

    kind = "too-large"
    http_status = 413


@attrs.frozen
class NotFoundError(ZincvaleError):
    """A resource or path does not exist."""

    kind = "not-found"
    http_status = 404


@attrs.frozen
class VersionConflictError(ZincvaleError):
    """Another change was applied first to the version on which this change is based.

    Attributes
    ----------
    current_version : the version on which a new change must be based.
    """

    current_version: int = 0

    kind = "conflict"
    http_status = 409


@attrs.frozen
class NotConfirmedError(ZincvaleError):
    """A change may or may not be in force; it can be safely sent again with the same key."""

    kind = "not-confirmed"
    http_status = 503


@attrs.frozen
class UnavailableError(ZincvaleError):
    """The daemon cannot serve this request now.

    Nothing was changed, with one exception: the outcome of a document change for which the core
    returned no result is unknown (`controlplane.documents.api`); the change can be sent again.
    """

    kind = "unavailable"
    http_status = 503


@attrs.frozen
class WrongClusterError(ZincvaleError):
    """A message or data folder belongs to another cluster.

    Attributes
    ----------
    expected_cluster, actual_cluster : the cluster id of this process and the one that was found.
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
    address : `ip:port` on which the daemon cannot listen; empty for other causes.
    """

    address: str = attrs.field(default="", repr=False, kw_only=True)

    kind = "start"
    http_status = 500
