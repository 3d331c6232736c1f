"""The operators' calls about the forwarding document, as a pure state machine.

A dialect decodes requests into commands and encodes responses; this module sends changes to the
owner of the document. Reads are linearizable: before a read is completed, the owner confirms the
current version with a quorum, and the response shows that version or a newer one.

An order about an evacuation names no version. An attempt of it may be delayed, in a process that
does not run or in a core without an owner for the key, until its operator has given newer orders
through another core. Therefore each attempt is bound to the current revision of the zone's
evacuation, which is read like a document soon after the attempt has arrived, and is applied to no
other revision.

A change gets `not-confirmed` from `coordination.registers.proposal_router` after its time limit. If
the core returns no result, the change gets `unavailable`; it may be in force in both cases.
"""

from __future__ import annotations

import itertools
from typing import Protocol

import attrs

from zincvale.controlplane import log_events
from zincvale.controlplane.api.messages import ApiEffect, ApiRequest, ApiResponse, CallCore
from zincvale.controlplane.documents.changes import (
    DocumentChange,
    EvacuationChange,
    change_identity,
    encode_change,
)
from zincvale.controlplane.documents.rows import (
    SourceDocument,
    evacuation_revision,
    source_document,
)
from zincvale.coordination.changes import KeyView, Rows
from zincvale.coordination.registers.change_messages import CONFLICT, ChangeResult, ProposeChange
from zincvale.coordination.replication.replica_sets import INTENT_KEY
from zincvale.model.errors import UnavailableError, ZincvaleError
from zincvale.model.machine import Log

CALL_TIMEOUT_S = 4.5
"""Time after which a call gets an error; longer than the core's own limit on a change (4 s by
default), so that a result of the core arrives first."""
MAX_PENDING_CALLS = 1_000
"""Limit on the calls that wait for the core; it bounds memory while the owner is unreachable."""
BASE_READ_TIMEOUT_S = 0.5
"""Longest time from the arrival of an order about an evacuation until its base revision is known.
Later, its operator may have given a newer order already, so that the base would include it."""
SEND_AGAIN = "send the same request again, to any core"
NO_VERSION = -1
"""A base version that never exists: the owner replies with the current version as a conflict."""


@attrs.frozen
class ReadDocument:
    """Read the newest document."""


@attrs.frozen
class ChangeDocument:
    """Change the document, or evacuate a zone or return it to service."""

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
        """Return the response for an error."""
        ...


class DocumentView(Protocol):
    """State of the local core."""

    def intent_rows(self) -> KeyView:
        """Return the newest chosen rows that this core knows."""
        ...


@attrs.define
class _PendingCall:
    """An operator's call whose response is pending."""

    command: Command
    started_at: float
    is_reading: bool
    """Whether the call reads: the document, or the base revision of an evacuation."""
    needed_version: int | None = None
    """For a read: the version that the owner confirmed, the oldest that it may show."""
    is_abandoned: bool = False
    """Whether the caller has disconnected; the result of an evacuation is logged all the same."""

    @property
    def deadline(self) -> float:
        """Time at which the call gets an error."""
        is_reading_base = self.is_reading and self.evacuation is not None
        return self.started_at + (BASE_READ_TIMEOUT_S if is_reading_base else CALL_TIMEOUT_S)

    @property
    def evacuation(self) -> EvacuationChange | None:
        """The evacuation that the call requests, if any."""
        command = self.command
        if isinstance(command, ChangeDocument) and isinstance(command.change, EvacuationChange):
            return command.change
        return None


class DocumentApi:
    """Handles the operators' calls to one core.

    Parameters
    ----------
    view : state of the local core, read when each response is made.
    name : unique name of this process, used in idempotency keys of reads and evacuations.
    """

    def __init__(self, view: DocumentView, dialect: OperatorDialect, name: str) -> None:
        self._view = view
        self._dialect = dialect
        self._name = name
        self._call_numbers = itertools.count(1)
        self._pending: dict[str, _PendingCall] = {}

    def handle(self, request: ApiRequest, now: float) -> list[ApiEffect]:
        """Handle one request; its `ApiResponse` is among the effects of this or a later input."""
        try:
            command = self._dialect.read(request)
            if len(self._pending) >= MAX_PENDING_CALLS:
                raise UnavailableError("this core has too many pending calls", "ask another core")
            pending = _PendingCall(command, now, is_reading=not _is_document_change(command))
            if pending.evacuation is not None and request.is_delayed:
                raise UnavailableError(
                    "the order may have waited in this process while it did not run", SEND_AGAIN
                )
        except ZincvaleError as error:
            return [self._dialect.error_response(request.token, error)]
        self._pending[request.token] = pending
        effects: list[ApiEffect] = [CallCore(request.token, self._first_proposal(command))]
        if pending.evacuation is not None:
            effects.append(_requested_log(request.token, pending.evacuation))
        return effects

    def on_core_response(self, token: str, message: object, now: float) -> list[ApiEffect]:
        """Handle the core's response to `CallCore(token, ...)`."""
        pending = self._pending.get(token)
        if pending is None:
            return []
        if not isinstance(message, ChangeResult):
            return self._fail(token, "the core returned an unexpected message")
        if not pending.is_reading:
            return self._complete_change(token, pending, message, now)
        if message.status != CONFLICT:
            return self._fail(token, "no quorum confirmed the newest version")
        pending.needed_version = message.current_version
        return self._complete_reads(now)

    def on_core_failure(self, token: str, reason: str) -> list[ApiEffect]:
        """Handle the notice that `CallCore(token, ...)` gets no response."""
        return self._fail(token, reason) if token in self._pending else []

    def abandon(self, token: str) -> None:
        """Forget a request whose client disconnected; a change that was proposed is not cancelled.

        An evacuation whose base revision is still being read is never proposed.
        """
        pending = self._pending.get(token)
        if pending is not None and pending.evacuation is not None and not pending.is_reading:
            pending.is_abandoned = True
            return
        self._pending.pop(token, None)

    def on_intent_changed(self, now: float) -> list[ApiEffect]:
        """Complete the reads whose needed version this core has now."""
        return self._complete_reads(now)

    def tick(self, now: float) -> list[ApiEffect]:
        """Fail the calls whose deadline has passed."""
        overdue = [token for token, each in self._pending.items() if now >= each.deadline]
        effects: list[ApiEffect] = []
        for token in overdue:
            effects.extend(self._fail(token, "the core did not respond in time"))
        return effects

    def _first_proposal(self, command: Command) -> ProposeChange:
        """Return the first proposal for the owner; the one of a read changes nothing."""
        if isinstance(command, ChangeDocument) and isinstance(command.change, DocumentChange):
            return _change_proposal(command.change)
        unique_key = f"{self._name}:{next(self._call_numbers)}"
        return ProposeChange(INTENT_KEY, unique_key, NO_VERSION, b"")

    def _complete_change(
        self, token: str, pending: _PendingCall, result: ChangeResult, now: float
    ) -> list[ApiEffect]:
        evacuation = pending.evacuation
        if evacuation is None:
            del self._pending[token]
            return [self._dialect.change_response(token, result)]
        logs = [_responded_log(pending, evacuation, result, now)]
        if result.status == CONFLICT:
            # Not a refusal: the order itself is proper, only this attempt of it came too late.
            return [*logs, *self._fail(token, result.problem)]
        del self._pending[token]
        return [*logs, self._dialect.change_response(token, result)]

    def _complete_reads(self, now: float) -> list[ApiEffect]:
        rows = self._view.intent_rows()
        ready = {
            token: pending
            for token, pending in self._pending.items()
            if pending.is_reading
            and pending.needed_version is not None
            and rows.version >= pending.needed_version
        }
        effects: list[ApiEffect] = []
        document: SourceDocument | None = None
        for token, pending in ready.items():
            if pending.evacuation is not None:
                effects.extend(self._propose_evacuation(token, pending, rows.rows, now))
                continue
            del self._pending[token]
            document = document or source_document(rows.rows)
            effects.append(self._dialect.document_response(token, document))
        return effects

    def _propose_evacuation(
        self, token: str, pending: _PendingCall, rows: Rows, now: float
    ) -> list[ApiEffect]:
        """Bind an evacuation to the revision that was just read, and propose it."""
        evacuation = pending.evacuation
        assert evacuation is not None
        if now >= pending.deadline:
            return self._fail(token, "the current state of the zone was not known in time")
        pending.is_reading = False
        revision = evacuation_revision(rows, evacuation.zone)
        bound = attrs.evolve(evacuation, base_revision=revision)
        return [CallCore(token, _change_proposal(bound))]

    def _fail(self, token: str, reason: str) -> list[ApiEffect]:
        self._pending.pop(token, None)
        error = UnavailableError(reason, SEND_AGAIN)
        return [self._dialect.error_response(token, error)]


def _is_document_change(command: Command) -> bool:
    return isinstance(command, ChangeDocument) and isinstance(command.change, DocumentChange)


def _change_proposal(change: DocumentChange | EvacuationChange) -> ProposeChange:
    """Return the proposal of a change; equal changes of one base are one change at any core."""
    content = encode_change(change)
    return ProposeChange(INTENT_KEY, change_identity(content), None, content)


def _requested_log(token: str, evacuation: EvacuationChange) -> Log:
    fields = {"token": token, "zone": evacuation.zone, "evacuated": evacuation.evacuated}
    return Log(log_events.EVACUATION_REQUESTED, fields)


def _responded_log(
    pending: _PendingCall, evacuation: EvacuationChange, result: ChangeResult, now: float
) -> Log:
    fields = {
        "zone": evacuation.zone,
        "evacuated": evacuation.evacuated,
        "status": result.status,
        "version": result.version,
        "waited_s": round(now - pending.started_at, 3),
        "caller_has_left": pending.is_abandoned,
    }
    return Log(log_events.EVACUATION_RESPONDED, fields)
