"""Read-only state of a core and its cluster, for operators."""

from __future__ import annotations

import attrs

from zincvale.model.identifiers import Address, MemberId, ZoneName


@attrs.frozen
class KeyState:
    """State of one key at one core.

    Attributes
    ----------
    owner : member id of the live core believed to own the key; empty when none is known.
    epoch : number of the highest epoch that the core's replica has promised.
    chosen_version : newest version that the core knows to be chosen.
    in_force_version : newest version that the core knows to be applied everywhere.
    """

    key: str
    owner: str
    epoch: int
    chosen_version: int
    in_force_version: int


@attrs.frozen
class CoreState:
    """State of a core, as the core itself sees it.

    Attributes
    ----------
    voting : whether its disk is a declared replica and accepts writes.
    caught_up : whether it has learned enough since its start to grant leases.
    disk_failure : error of the last failed write; empty while the disk accepts writes.
    quarantined : keys whose files were unreadable at the start, each with the reason.
    """

    member: str
    disk: str
    cluster_incarnation: str
    voting: bool
    caught_up: bool
    disk_failure: str
    quarantined: dict[str, str]
    replicas: list[str]
    live_cores: list[str]
    keys: list[KeyState]


@attrs.frozen
class ReplicaStatus:
    """Status of a core of the cluster, as the responding core sees it.

    Attributes
    ----------
    chosen_version : newest version of the intent that the described core knows to be chosen.
    """

    member: MemberId
    zone: ZoneName
    peer_address: Address
    live: bool
    voting: bool
    disk: str
    chosen_version: int
