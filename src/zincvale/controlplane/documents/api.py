"""The operators' calls about the forwarding document, as a pure state machine.

A dialect reads requests into commands and writes responses; this module carries changes to the
owner of the document and completes reads only with what is certainly the newest: before a read is
completed, the owner confirms the current version by a quorum (a linearizable read).

A change gets `not-confirmed` from `coordination.registers.proposal_router` after its limit. If the
core gives no result at all, it gets `unavailable`, and then the change may be in force as well.
"""

from __future__ import annotations

import itertools
from typing import Protocol

import attrs

from zincvale.controlplane.api.messages import ApiEffect, ApiRequest, ApiResponse, CallCore
from zincvale.controlplane.documents.changes import (
    DocumentChange,
    EvacuationChange,
    change_identity,
    encode_change,
)
from zincvale.controlplane.documents.rows import SourceDocument, source_document
from zincvale.coordination.changes import KeyView
from zincvale.coordination.registers.change_messages import CONFLICT, ChangeResult, ProposeChange
from zincvale.coordination.replication.replica_sets import INTENT_KEY
from zincvale.model.errors import UnavailableError, ZincvaleError

CALL_TIMEOUT_S = 4.5
"""After this a call gets an error; longer than the core's own limit on a change (4 s by default),
so that its result arrives first where there is one."""
MAX_PENDING_CALLS = 1_000
"""Calls that wait for the core; it bounds memory while the owner is unreachable."""
NO_VERSION = -1
"""A base that no version has: the owner replies with the current version and changes nothing."""


@attrs.frozen
class ReadDocument:
    """Read the newest document back."""


@attrs.frozen
class ChangeDocument:
    """Change the document, or evacuate or open a zone."""

    change: DocumentChange | EvacuationChange


Command = ReadDocument | ChangeDocument


class OperatorDialect(Protocol):
    """Maps operators' HTTP requests to commands, and results to HTTP responses."""

    def read(self, request: ApiRequest) -> Command:
        """Return the command in a request; raises a `ZincvaleError`."""
        ...

    def document_response(self, token: str, document: SourceDocument) -> ApiResponse:
        """Return the response to a read."""
        ...

    def change_response(self, token: str, result: ChangeResult) -> ApiResponse:
        """Return the response to a change."""
        ...

    def error_response(self, token: str, error: ZincvaleError) -> ApiResponse:
        """Return the response that shows an error."""
        ...


class DocumentView(Protocol):
    """State of the local core."""

    def intent_rows(self) -> KeyView:
        """Return the newest chosen rows known here."""
        ...


@attrs.define
class _PendingCall:
    """An operator's call whose response is pending."""

    command: Command
    deadline: float
    needed_version: int | None = None
    """Of a read: the version that it must show at least, once the owner confirmed one."""


class DocumentApi:
    """Operators' calls at one core.

    Parameters
    ----------
    view : state of the local core, read at the moment of each response.
    name : unique name of this process, for calls whose content is no idempotency key.
    """

    def __init__(self, view: DocumentView, dialect: OperatorDialect, name: str) -> None:
        self._view = view
        self._dialect = dialect
        self._name = name
        self._call_numbers = itertools.count(1)
        self._pending: dict[str, _PendingCall] = {}

    def handle(self, request: ApiRequest, now: float) -> list[ApiEffect]:
        """Take one request; its `ApiResponse` is among these effects or those of a later input."""
        try:
            command = self._dialect.read(request)
            if len(self._pending) >= MAX_PENDING_CALLS:
                raise UnavailableError("this core carries too many calls", "ask another core")
        except ZincvaleError as error:
            return [self._dialect.error_response(request.token, error)]
        self._pending[request.token] = _PendingCall(command, now + CALL_TIMEOUT_S)
        return [CallCore(request.token, self._proposal(command))]

    def on_core_response(self, token: str, message: object) -> list[ApiEffect]:
        """Take the core's response to `CallCore(token, ...)`."""
        pending = self._pending.get(token)
        if pending is None:
            return []
        if not isinstance(message, ChangeResult):
            return self._fail(token, "the core gave no usable answer")
        if isinstance(pending.command, ChangeDocument):
            del self._pending[token]
            return [self._dialect.change_response(token, message)]
        if message.status != CONFLICT:
            return self._fail(token, "no quorum tells the newest version now")
        pending.needed_version = message.current_version
        return self._complete_reads()

    def on_core_failure(self, token: str, reason: str) -> list[ApiEffect]:
        """Take notice that `CallCore(token, ...)` gets no response."""
        return self._fail(token, reason) if token in self._pending else []

    def abandon(self, token: str) -> None:
        """Forget a request whose client disconnected; its change goes on."""
        self._pending.pop(token, None)

    def on_intent_changed(self, now: float) -> list[ApiEffect]:
        """Complete the reads that waited for the version that has just arrived."""
        return self._complete_reads()

    def tick(self, now: float) -> list[ApiEffect]:
        """Fail the calls whose deadline has passed."""
        overdue = [token for token, each in self._pending.items() if now >= each.deadline]
        effects: list[ApiEffect] = []
        for token in overdue:
            effects.extend(self._fail(token, "the core did not answer in time"))
        return effects

    def _proposal(self, command: Command) -> ProposeChange:
        """Return the message to the owner; that of a read changes nothing."""
        own_id = f"{self._name}:{next(self._call_numbers)}"
        if isinstance(command, ReadDocument):
            return ProposeChange(INTENT_KEY, own_id, NO_VERSION, b"")
        content = encode_change(command.change)
        if isinstance(command.change, EvacuationChange):
            # It sets a state, so that each call is a change of its own.
            return ProposeChange(INTENT_KEY, own_id, None, content)
        return ProposeChange(INTENT_KEY, change_identity(content), None, content)

    def _complete_reads(self) -> list[ApiEffect]:
        rows = self._view.intent_rows()
        ready = [
            token
            for token, pending in self._pending.items()
            if pending.needed_version is not None and rows.version >= pending.needed_version
        ]
        if not ready:
            return []
        document = source_document(rows.rows)
        for token in ready:
            del self._pending[token]
        return [self._dialect.document_response(token, document) for token in ready]

    def _fail(self, token: str, reason: str) -> list[ApiEffect]:
        self._pending.pop(token, None)
        error = UnavailableError(reason, "send the same call again, to any core")
        return [self._dialect.error_response(token, error)]
