"""Read-only rows about a core and its cluster, for operators."""

from __future__ import annotations

import attrs

from zincvale.model.identifiers import Address, MemberId, ZoneName


@attrs.frozen
class KeyState:
    """One key at one core.

    Attributes
    ----------
    owner : member id of the live core believed to own the key; empty when none is known.
    epoch : number of the highest epoch that the core's replica promised.
    chosen_version : newest version known to be chosen.
    in_force_version : newest version known to be applied everywhere.
    """

    key: str
    owner: str
    epoch: int
    chosen_version: int
    in_force_version: int


@attrs.frozen
class CoreState:
    """One core as it sees itself.

    Attributes
    ----------
    voting : its disk is a declared replica and takes writes.
    caught_up : it knows enough since its start to grant leases.
    disk_failure : why the disk takes no writes; empty when it does.
    quarantined : keys whose files were unreadable at the start, and why.
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
    """One core of the cluster, as another core sees it.

    Attributes
    ----------
    chosen_version : newest version of the intent that the core knows to be chosen.
    """

    member: MemberId
    zone: ZoneName
    peer_address: Address
    live: bool
    voting: bool
    disk: str
    chosen_version: int
