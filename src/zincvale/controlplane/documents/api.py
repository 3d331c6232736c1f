"""The operators' calls about the forwarding document, as a pure state machine.

A dialect reads requests into commands and writes answers; this module carries changes to the
owner of the document and answers reads only with what is certainly the newest: before a read is
answered, the owner proves the current version by a quorum.
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

CALL_LIMIT_S = 4.5
MAX_PENDING_CALLS = 1_000
NO_VERSION = -1
"""A base that no version has: the owner answers with the current version and changes nothing."""


@attrs.frozen
class ReadDocument:
    """Read the newest document back."""


@attrs.frozen
class ChangeDocument:
    """Change the document, or close or open a zone."""

    change: DocumentChange | EvacuationChange


Command = ReadDocument | ChangeDocument


class OperatorDialect(Protocol):
    """How operators speak."""

    def read(self, request: ApiRequest) -> Command:
        """Return what is asked; raises a `ZincvaleError`."""
        ...

    def document_answer(self, token: str, document: SourceDocument) -> ApiResponse:
        """Return the answer to a read."""
        ...

    def change_answer(self, token: str, result: ChangeResult) -> ApiResponse:
        """Return the answer to a change."""
        ...

    def error_answer(self, token: str, error: ZincvaleError) -> ApiResponse:
        """Return the answer that shows an error."""
        ...


class DocumentView(Protocol):
    """State of the local core."""

    def intent_rows(self) -> KeyView:
        """Return the newest chosen rows known here."""
        ...


@attrs.define
class _Pending:
    command: Command
    deadline: float
    needed_version: int | None = None
    """Of a read: the version that it must show, once the owner told."""


class DocumentApi:
    """Operators' calls at one core.

    Parameters
    ----------
    view : state of the local core, read at the moment of each answer.
    name : unique name of this process, for orders that have no identity of their own.
    """

    def __init__(self, view: DocumentView, dialect: OperatorDialect, name: str) -> None:
        self._view = view
        self._dialect = dialect
        self._name = name
        self._numbers = itertools.count(1)
        self._pending: dict[str, _Pending] = {}

    def handle(self, request: ApiRequest, now: float) -> list[ApiEffect]:
        """Take one request; the answer is among the effects now or later."""
        try:
            command = self._dialect.read(request)
            if len(self._pending) >= MAX_PENDING_CALLS:
                raise UnavailableError("this core carries too many calls", "ask another core")
        except ZincvaleError as error:
            return [self._dialect.error_answer(request.token, error)]
        self._pending[request.token] = _Pending(command, now + CALL_LIMIT_S)
        return [CallCore(request.token, self._proposal(command))]

    def core_replied(self, token: str, message: object) -> list[ApiEffect]:
        """Take the core's answer to `CallCore(token, ...)`."""
        pending = self._pending.get(token)
        if pending is None:
            return []
        if not isinstance(message, ChangeResult):
            return self._give_up(token, "the core gave no usable answer")
        if isinstance(pending.command, ChangeDocument):
            del self._pending[token]
            return [self._dialect.change_answer(token, message)]
        if message.status != CONFLICT:
            return self._give_up(token, "no quorum tells the newest version now")
        pending.needed_version = message.current_version
        return self._answer_reads()

    def core_failed(self, token: str, reason: str) -> list[ApiEffect]:
        """Take notice that `CallCore(token, ...)` gets no answer."""
        return self._give_up(token, reason) if token in self._pending else []

    def abandoned(self, token: str) -> None:
        """Forget a request whose client went away; its change goes on."""
        self._pending.pop(token, None)

    def intent_changed(self, now: float) -> list[ApiEffect]:
        """Answer the reads that waited for what has just arrived."""
        return self._answer_reads()

    def tick(self, now: float) -> list[ApiEffect]:
        """Give up what has taken too long."""
        overdue = [token for token, each in self._pending.items() if now >= each.deadline]
        effects: list[ApiEffect] = []
        for token in overdue:
            effects.extend(self._give_up(token, "the core did not answer in time"))
        return effects

    def _proposal(self, command: Command) -> ProposeChange:
        own_id = f"{self._name}:{next(self._numbers)}"
        if isinstance(command, ReadDocument):
            return ProposeChange(INTENT_KEY, own_id, NO_VERSION, b"")
        content = encode_change(command.change)
        if isinstance(command.change, EvacuationChange):
            # A state, not a step: each call is an order of its own.
            return ProposeChange(INTENT_KEY, own_id, None, content)
        return ProposeChange(INTENT_KEY, change_identity(content), None, content)

    def _answer_reads(self) -> list[ApiEffect]:
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
        return [self._dialect.document_answer(token, document) for token in ready]

    def _give_up(self, token: str, reason: str) -> list[ApiEffect]:
        self._pending.pop(token, None)
        error = UnavailableError(reason, "send the same call again, to any core")
        return [self._dialect.error_answer(token, error)]
