"""Peer messages about the server directory."""

from __future__ import annotations

import attrs

from zincvale.model.messages import peer_message


@attrs.frozen
class ServerObservation:
    """One probe's result.

    Attributes
    ----------
    status : body of the server's `GET /status`; empty when the probe failed.
    why : cause of the failure.
    refused : no connection was made: nothing listens at the address.
    age_s : time from the request to the server until this was sent.
    """

    server: str
    status: bytes
    why: str
    refused: bool
    age_s: float


@peer_message("directory.observed")
@attrs.frozen
class ServerObservations:
    """Results of a prober's probes of the servers that it is assigned."""

    observations: list[ServerObservation]


@peer_message("directory.passive-failures")
@attrs.frozen
class PassiveFailures:
    """Servers that failed requests at the sender; the publisher probes them at once."""

    servers: list[str]


@peer_message("directory.closing")
@attrs.frozen
class MarkServerDraining:
    """The placement controller drains `names` on a server: nodes send nothing new for them.

    `epoch` is the fencing epoch of the placement role; older ones are ignored.
    """

    server: str
    names: list[str]
    epoch: int


@peer_message("listed.read")
@attrs.frozen
class ListRead:
    """Between cores: the sender read the outside list just now and has published it."""

    epoch: int
