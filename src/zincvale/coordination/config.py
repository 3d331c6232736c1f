"""Configuration of the two coordination machines. Times are seconds.

The fields are code: no settings file, message or command line has their names.
"""

from __future__ import annotations

import attrs

from zincvale.model.identifiers import Address, MemberId, ZoneName


@attrs.frozen
class Timings:
    """Every duration that the machines use, in seconds; the same on all processes of a cluster.

    Lease lifetimes are promises between processes: a grantor and a holder must count the same one.
    """

    lease_ttl_s: float = 1.8
    """Lifetime of a member lease, counted by the node from its request. It bounds how long a change
    waits for a node that disappeared."""
    lease_renew_s: float = 0.6
    """Between two renewals; a third of the lifetime, so that one lost renewal costs nothing."""
    heartbeat_interval_s: float = 0.25
    """Between two heartbeats of a core."""
    peer_timeout_s: float = 1.0
    """A core whose last heartbeat is older is not live; its keys get a new owner."""
    prepare_timeout_s: float = 0.8
    """After this an owner that lacks promises of a majority gives up, and tries again later."""
    resend_interval_s: float = 0.3
    """Between two sends of a register message to a replica that did not respond."""
    change_timeout_s: float = 4.0
    """After this a change gets the response `not-confirmed`, by `registers.proposal_router`."""
    forward_timeout_s: float = 4.0
    """Timeout of the call that forwards a change to the key's owner."""
    renewal_collect_s: float = 0.03
    """How long a coordinating core collects renewals before it forwards them together."""
    renewal_wait_s: float = 0.25
    """After this a coordinating core responds to a renewal with the grants that it has."""
    renewal_timeout_s: float = 0.55
    """After this a node renews at every core itself; more than `renewal_wait_s`, less than
    `lease_renew_s`."""
    stale_member_grace_s: float = 1.0
    """A node that lacks a chosen version for longer gets grants that count only once it applied it;
    a change waits for a slow node this long, and a lease lifetime."""
    long_poll_timeout_s: float = 10.0
    """How long a long poll is pending without an update."""
    poll_call_timeout_s: float = 12.0
    """Timeout of a long poll's call; more than `long_poll_timeout_s`, or every idle poll fails."""
    delta_batch_s: float = 0.02
    """How long updates are collected before long polls get responses."""
    ephemeral_responses_per_s: float = 0.0
    """Bound of the responses that carry only topics and members, at one core; 0 for none."""
    role_lease_s: float = 6.0
    """Lifetime of a leader lease, counted by the holder from its request."""
    role_margin_s: float = 1.0
    """A leader stops acting this long before its lease ends: an order that it sends at the last
    moment must have arrived, or failed, before another leader can act."""
    role_renew_s: float = 2.0
    """Between two renewals of a leader lease."""
    candidate_stagger_s: float = 1.0
    """How much later each further candidate stands for a free role."""
    node_deregister_s: float = 60.0
    """A registered node without a lease for this long leaves the registry."""
    replace_delay_s: float = 5.0
    """A replica unresponsive for this long may be replaced by a waiting learner."""
    disk_retry_s: float = 1.0
    """Between two attempts to write after a disk failed."""
    bootstrap_listen_s: float = 1.0
    """How long the creating core listens for an older cluster before it creates one."""
    peer_probe_s: float = 0.5
    """Between two rounds of partition probes."""


@attrs.frozen
class InitialCore:
    """One of the cores that a cluster is created with."""

    member: MemberId
    api_address: Address
    peer_address: Address
    zone: ZoneName


@attrs.frozen
class CoreConfig:
    """The configuration of a core process, fixed at its start but for the seeds."""

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
    """With `bootstrap`: every disk is declared lost; values are restored from the nodes."""
    initial_cores: tuple[InitialCore, ...] = ()
    """The cores of a new cluster, the same list on each; the first one creates it."""
    roles: tuple[str, ...] = ()
    """Singleton roles that this process stands for."""
    group_size: int = 3
    """Replicas that a group grows to while there are cores without a vote."""
    timings: Timings = Timings()


@attrs.frozen
class NodeConfig:
    """The configuration of a node process, fixed at its start but for the seeds."""

    cluster_id: str
    member: MemberId
    incarnation: str
    """Random, one per process start."""
    zone: ZoneName
    region: str
    api_address: Address
    peer_address: Address
    seeds: tuple[Address, ...] = ()
    """As for a core."""
    topics: tuple[str, ...] = ("directory", "moves")
    """Ephemeral topics that the node follows."""
    timings: Timings = Timings()
