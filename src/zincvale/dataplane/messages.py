"""Peer messages of the data plane."""

from __future__ import annotations

import attrs

from zincvale.model.messages import peer_message


@attrs.frozen
class ModelDemand:
    """Requests for one model (and adapter, empty for none) since the last report.

    `waiting` counts requests that are pending now because the model or adapter is resident nowhere,
    `tokens` the tokens that were generated. The order and types of fields are the wire format.
    """

    pool: str
    model: str
    adapter: str
    requests: int
    waiting: int
    tokens: int


@attrs.frozen
class ModelUse:
    """Requests of this node that run on one server now."""

    server: str
    model: str
    adapter: str
    running: int


@peer_message("dataplane.demand")
@attrs.frozen
class DemandReport:
    """Demand that one node measured within `window_s`, for the placement leader."""

    node: str
    window_s: float
    rows: list[ModelDemand]
    use: list[ModelUse]
    unreachable: list[str] = attrs.field(factory=list)
    """Servers that this node could not reach, or whose exchanges broke, since its last report."""
