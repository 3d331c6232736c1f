"""One request to a server and the listener of its answer."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Protocol

import attrs

HeaderList = list[tuple[str, str]]


@attrs.frozen
class OutgoingRequest:
    """What leaves for a server.

    Attributes
    ----------
    headers : without those that frame the body.
    body : None sends no body at all.
    belongs : whether an answer with this status and these headers (names in lower case) is this
        request's; others are read to their end and dropped.
    may_repeat : an idle connection may be used that the server may have forgotten.
    """

    method: str
    target: str
    headers: HeaderList
    body: bytes | None
    belongs: Callable[[int, Mapping[str, str]], bool]
    may_repeat: bool = False


@attrs.frozen
class AnswerHead:
    """Status and headers of an answer, in the order and spelling that the server used."""

    status: int
    reason: str
    headers: HeaderList

    def lowered(self) -> dict[str, str]:
        """Return the headers with names in lower case; of repeated ones the last."""
        return {name.lower(): value for name, value in self.headers}


class AnswerListener(Protocol):
    """Told what becomes of an exchange, in order; after `ended` or `broken` nothing follows."""

    def not_sent(self, reason: str) -> None:
        """No connection came up: nothing of the request left."""
        ...

    def head(self, head: AnswerHead) -> None:
        """The head of the answer."""
        ...

    def content(self, data: bytes) -> None:
        """A part of the body."""
        ...

    def ended(self) -> None:
        """The answer is whole."""
        ...

    def broken(self, reason: str) -> None:
        """The exchange broke after the request had begun to leave."""
        ...
