"""Typed rows of the journals, as docs/PROTOCOLS.md lists them.

`t` is seconds on CLOCK_BOOTTIME of the one machine that the rig runs on, so that rows of different
writers can be ordered. `source` is the journal's file name without its suffix: the process that
wrote the row.
"""

from __future__ import annotations

from typing import Any

import attrs


@attrs.frozen(kw_only=True)
class Row:
    """Fields that every row has."""

    t: float
    source: str = ""


@attrs.frozen(kw_only=True)
class ServerRow(Row):
    """A row about a back-end server; without `server` it is about the journal's own server."""

    server: str = ""

    @property
    def server_id(self) -> str:
        """The name of the server that the row is about."""
        return self.server or self.source


@attrs.frozen(kw_only=True)
class ServerStarted(ServerRow):
    """A server started as a new incarnation, with no weights loaded."""

    incarnation: str = ""
    zone: str = ""
    pool: str = ""
    memory_bytes: int = 0
    kind: str = ""
    max_running: int = 0


@attrs.frozen(kw_only=True)
class ServerCrashed(ServerRow):
    """A server crashed and lost everything that it had loaded."""


@attrs.frozen(kw_only=True)
class RequestRan(ServerRow):
    """A server began to run a request."""

    request_id: str
    model: str | None = None
    prompt_digest: str = ""
    prefix_tokens: int = 0


@attrs.frozen(kw_only=True)
class RequestDone(ServerRow):
    """A server finished a request."""

    request_id: str
    tokens: int = 0


@attrs.frozen(kw_only=True)
class RequestRefused(ServerRow):
    """A server refused a request without running it."""

    request_id: str
    error: str = ""


@attrs.frozen(kw_only=True)
class OrderTaken(ServerRow):
    """A server accepted an order to load or unload."""

    order_id: str
    epoch: int
    action: str
    name: str
    bytes: int = 0
    sender: str = ""


@attrs.frozen(kw_only=True)
class OrderRefused(OrderTaken):
    """A server refused an order."""

    error: str = ""


@attrs.frozen(kw_only=True)
class WeightsLoaded(ServerRow):
    """A model or adapter finished loading on a server and can serve."""

    name: str
    bytes: int = 0
    used_bytes: int = 0


@attrs.frozen(kw_only=True)
class WeightsUnloaded(ServerRow):
    """A model or adapter was removed from the memory of a server, or its load failed."""

    name: str
    bytes: int = 0
    used_bytes: int = 0


@attrs.frozen(kw_only=True)
class PullStarted(Row):
    """A store began to send weights."""

    name: str
    bytes: int = 0
    puller: str = ""
    store: str = ""

    @property
    def store_id(self) -> str:
        """The name of the store that the row is about."""
        return self.store or self.source


@attrs.frozen(kw_only=True)
class PullEnded(PullStarted):
    """A store stopped sending weights, whether or not the transfer was complete."""


@attrs.frozen(kw_only=True)
class RequestSent(Row):
    """A caller sent a request to a node."""

    request_id: str
    route: str
    attempt: int = 1
    node: str = ""
    stream: bool = False


@attrs.frozen(kw_only=True)
class ResultReceived(Row):
    """The outcome of one attempt, as the caller of the request classified it.

    `pieces_in_all` and the counts of wrong chunks include all attempts of the request so far.
    `final` is true when the caller will not send this request again.
    """

    request_id: str
    outcome: str
    attempt: int = 1
    route: str = ""
    status: int = 0
    reason: str = ""
    answer_request_id: str | None = None
    text_digest: str | None = None
    expected_digest: str | None = None
    first_ms: float | None = None
    total_ms: float | None = None
    complete: bool = False
    pieces_in_all: int = 0
    skips: int | None = None
    repeats: int | None = None
    splices: int | None = None
    wrong_ends: int | None = None
    final: bool | None = None
    caller: str = ""


@attrs.frozen(kw_only=True)
class ChangeSent(Row):
    """An operator sent a change; `change` is the complete request body."""

    order_id: str
    base_version: int | None = None
    change: dict[str, Any] = attrs.field(factory=dict)


@attrs.frozen(kw_only=True)
class ChangeResponse(Row):
    """The response to an operator's change; `status` 0 means that there was none."""

    order_id: str
    status: int
    version: int | None = None


@attrs.frozen(kw_only=True)
class FaultBegan(Row):
    """The rig began a fault."""

    kind: str
    target: str = ""
    args: dict[str, Any] = attrs.field(factory=dict)


@attrs.frozen(kw_only=True)
class FaultEnded(Row):
    """The rig lifted a fault."""

    kind: str
    target: str = ""


@attrs.frozen(kw_only=True)
class IntentRead(Row):
    """The rig read the intent as an operator does: request at `asked_t`, response at `t`."""

    member: str
    asked_t: float
    status: int
    version: int | None = None
    resources: list[dict[str, Any]] | None = None


@attrs.frozen(kw_only=True)
class MarkerProbed(Row):
    """The rig requested the path of marker `marker` from a node.

    The body is empty, so that the request never runs. `ready` is true when the node reported
    itself ready both before and after the request.
    """

    member: str
    asked_t: float
    marker: int
    status: int
    ready: bool
    reason: str = ""


@attrs.frozen(kw_only=True)
class ReadinessPolled(Row):
    """The rig polled the readiness endpoint of a daemon."""

    member: str
    asked_t: float
    status: int


@attrs.frozen(kw_only=True)
class MachineAdded(Row):
    """The rig started a daemon on a new machine that replaces another machine."""

    member: str
    replaces: str
    host: str
    zone: str


@attrs.frozen(kw_only=True)
class LoadStarted(Row):
    """The rig started the callers: the zero point of the report's time axis."""


@attrs.frozen(kw_only=True)
class RunEnded(Row):
    """The rig began to end the run; an event that is missing after this time is no breach."""


ROW_BY_EVENT: dict[str, type[Row]] = {
    "start": ServerStarted,
    "crash": ServerCrashed,
    "run": RequestRan,
    "done": RequestDone,
    "refuse": RequestRefused,
    "order": OrderTaken,
    "order-refused": OrderRefused,
    "loaded": WeightsLoaded,
    "unloaded": WeightsUnloaded,
    "load-failed": WeightsUnloaded,
    "pull-start": PullStarted,
    "pull-end": PullEnded,
    "send": RequestSent,
    "result": ResultReceived,
    "apply": ChangeSent,
    "applied": ChangeResponse,
    "fault": FaultBegan,
    "fault-end": FaultEnded,
    "intent-read": IntentRead,
    "probe": MarkerProbed,
    "ready": ReadinessPolled,
    "machine-added": MachineAdded,
    "load-start": LoadStarted,
    "run-end": RunEnded,
}
