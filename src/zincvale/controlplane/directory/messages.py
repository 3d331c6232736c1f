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
    why : cause of the failure; empty when the probe succeeded.
    refused : whether no connection was made, as no process listens at the address.
    age_s : time from the sending of the probe to the sending of this message.
    """

    server: str
    status: bytes
    why: str
    refused: bool
    age_s: float


@peer_message("directory.observed")
@attrs.frozen
class ServerObservations:
    """Results of a prober's probes of the servers that are assigned to it."""

    observations: list[ServerObservation]


@peer_message("directory.passive-failures")
@attrs.frozen
class PassiveFailures:
    """Servers at which the sender's requests failed; the publisher probes them without delay."""

    servers: list[str]


@peer_message("directory.closing")
@attrs.frozen
class MarkServerDraining:
    """The placement controller drains `names` on a server: nodes send no new requests for them.

    `epoch` is the fencing epoch of the placement role; messages of older epochs are ignored.
    """

    server: str
    names: list[str]
    epoch: int


@peer_message("listed.read")
@attrs.frozen
class ListRead:
    """Sent between cores: the sender has just read the external list and published it."""

    epoch: int
