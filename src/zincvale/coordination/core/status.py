"""What operators see of a core."""

from __future__ import annotations

import attrs

from zincvale.model.identifiers import Address, MemberId, ZoneName


@attrs.frozen
class KeyState:
    """One key at one core."""

    key: str
    owner: str
    epoch: int
    chosen_version: int
    in_force_version: int


@attrs.frozen
class CoreState:
    """One core as its operators see it."""

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
