"""Configuration of the two coordination machines. Times are seconds, sizes bytes."""

from __future__ import annotations

import attrs

from zincvale.model.identifiers import Address, MemberId, ZoneName


@attrs.frozen
class Timings:
    """Every duration the machines use."""

    lease_ttl_s: float = 1.8
    """Lifetime of a member lease, counted by the holder from when it asked."""
    lease_renew_s: float = 0.6
    heartbeat_interval_s: float = 0.25
    """How often cores tell each other their status."""
    peer_timeout_s: float = 1.0
    """A core not heard for this long is not live; its keys get a new owner."""
    prepare_timeout_s: float = 0.8
    resend_interval_s: float = 0.3
    change_limit_s: float = 4.0
    """After this a change is answered `not-confirmed`."""
    forward_timeout_s: float = 4.0
    renewal_collect_s: float = 0.03
    """How long a home core collects renewals before it passes them on together."""
    renewal_wait_s: float = 0.25
    """After this a home core answers a renewal with the grants it has."""
    renewal_timeout_s: float = 0.55
    """After this a node renews at every core itself."""
    stale_member_grace_s: float = 1.0
    """A node that lacks a chosen version for longer loses its grants until it holds it."""
    long_poll_timeout_s: float = 10.0
    """How long a core holds a long poll without news."""
    poll_timeout_s: float = 12.0
    delta_batch_s: float = 0.02
    """News is collected for this long before long polls are answered."""
    ephemeral_responses_per_s: float = 0.0
    """Bound of the answers that carry only topics and members, at one core; 0 for none."""
    role_lease_s: float = 6.0
    role_margin_s: float = 1.0
    role_renew_s: float = 2.0
    candidate_stagger_s: float = 1.0
    """How much later each further candidate stands for a free role."""
    node_deregister_s: float = 60.0
    """A registered node without a lease for this long leaves the registry."""
    replace_delay_s: float = 5.0
    """A replica silent for this long may be replaced by a waiting learner."""
    disk_retry_s: float = 1.0
    bootstrap_listen_s: float = 1.0
    """How long the creating core listens for an older cluster before it creates one."""
    peer_probe_s: float = 0.5
    """How often a node without a core asks its peers."""


@attrs.frozen
class InitialCore:
    """One of the cores that a cluster is created with."""

    member: MemberId
    api_address: Address
    peer_address: Address
    zone: ZoneName


@attrs.frozen
class CoreConfig:
    """What a core process is told at its start."""

    cluster_id: str
    member: MemberId
    incarnation: str
    """Random, one per process start."""
    zone: ZoneName
    region: str
    api_address: Address
    peer_address: Address
    seeds: tuple[Address, ...] = ()
    """Peer addresses for first contact only."""
    bootstrap: bool = False
    recover: bool = False
    """With `bootstrap`: the operator declares every disk lost; nodes give back what they hold."""
    initial_cores: tuple[InitialCore, ...] = ()
    """The cores of a new cluster, the same list on each; the first one creates it."""
    roles: tuple[str, ...] = ()
    """Singleton roles this process stands for."""
    group_size: int = 3
    """Replicas that a group grows to while there are cores without a vote."""
    timings: Timings = Timings()


@attrs.frozen
class NodeConfig:
    """What a node process is told at its start."""

    cluster_id: str
    member: MemberId
    incarnation: str
    """Random, one per process start."""
    zone: ZoneName
    region: str
    api_address: Address
    peer_address: Address
    seeds: tuple[Address, ...] = ()
    topics: tuple[str, ...] = ("directory", "moves")
    timings: Timings = Timings()
