"""Configuration of the core machine and the node machine. Times are in seconds.

The field names are internal: no settings file, message or command line contains them.
"""

from __future__ import annotations

import enum

import attrs

from zincvale.model.identifiers import Address, MemberId, ZoneName


class ReadinessRule(enum.Enum):
    """When a node is ready, and what an acknowledgement therefore waits for.

    It must be the same in all processes of a cluster (docs/design-coordination.md, "Readiness
    rules").
    """

    LEASE = "lease"
    """A node is ready only with a lease. An acknowledgement waits for all live leases."""
    LEASE_OR_EVIDENCE = "lease-or-evidence"
    """A node that reaches no core is also ready with evidence from a majority of the registered
    nodes. An acknowledgement therefore waits for a majority of the registered nodes as well."""


@attrs.frozen
class Timings:
    """Timeouts and intervals of the machines, in seconds; the same in all processes of a cluster.

    Lease lifetimes are agreements between processes: the grantor and the holder of a lease must use
    the same value.
    """

    lease_ttl_s: float = 1.8
    """Lifetime of a member lease, which the node counts from the time of its request. It limits how
    long a change waits for a node that failed."""
    lease_renew_s: float = 0.6
    """Interval between two renewals of a member lease. It is a third of the lifetime, so that a
    single lost renewal does not let the lease expire."""
    heartbeat_interval_s: float = 0.25
    """Interval between two heartbeats of a core."""
    peer_timeout_s: float = 1.0
    """Age of its last heartbeat above which a core is not live. Its keys then get a new owner."""
    prepare_timeout_s: float = 0.8
    """Time after which an owner without promises from a majority gives up; it retries later."""
    resend_interval_s: float = 0.3
    """Interval at which register messages are resent to replicas that did not respond."""
    change_timeout_s: float = 4.0
    """Time after which `registers.proposal_router` responds to a change with `not-confirmed`."""
    forward_timeout_s: float = 4.0
    """Timeout of the call that forwards a change to the key's owner."""
    renewal_collect_s: float = 0.03
    """How long a coordinating core collects lease renewals before it forwards them in a batch."""
    renewal_wait_s: float = 0.25
    """Time after which a coordinating core responds to a renewal without a majority of grants."""
    renewal_timeout_s: float = 0.55
    """Time without a response after which a node sends a renewal to every core itself. It must be
    longer than `renewal_wait_s` and shorter than `lease_renew_s`."""
    stale_member_grace_s: float = 1.0
    """How long a node may lack a chosen version before its grants require that it has applied the
    version. A change waits for a slow node this long plus one lease lifetime."""
    long_poll_timeout_s: float = 10.0
    """How long a long poll stays pending if there is no update."""
    poll_call_timeout_s: float = 12.0
    """Timeout of the call of a long poll. It must be longer than `long_poll_timeout_s`, or every
    idle poll would fail."""
    delta_batch_s: float = 0.02
    """How long updates are collected before long polls get a response."""
    ephemeral_responses_per_s: float = 0.0
    """Maximum rate at which one core sends responses that carry only topics and members; 0 means no
    limit."""
    role_lease_s: float = 6.0
    """Lifetime of a leader lease, which the holder counts from the time of its request."""
    role_margin_s: float = 1.0
    """How long before the end of its lease a leader stops acting. An order that it sends at the
    last moment must have arrived or failed before another leader can act."""
    role_renew_s: float = 2.0
    """Interval between two renewals of a leader lease."""
    candidate_stagger_s: float = 1.0
    """Additional delay after which each further candidate requests a free role."""
    node_deregister_s: float = 60.0
    """Time without a lease after which a registered node is removed from the registry."""
    replace_delay_s: float = 5.0
    """Time after which an unresponsive replica may be replaced by a learner."""
    disk_retry_s: float = 1.0
    """Interval between two attempts to write to a failed disk."""
    bootstrap_listen_s: float = 1.0
    """How long the creating core listens for an existing cluster before it creates one."""
    peer_probe_s: float = 0.5
    """Minimum interval between two rounds of partition probes."""


@attrs.frozen
class InitialCore:
    """One of the cores with which a cluster is created."""

    member: MemberId
    api_address: Address
    peer_address: Address
    zone: ZoneName


@attrs.frozen
class CoreConfig:
    """Configuration of a core process; only the seeds may change after the start."""

    cluster_id: str
    member: MemberId
    incarnation: str
    """Random identifier of this start of the process."""
    zone: ZoneName
    region: str
    api_address: Address
    peer_address: Address
    seeds: tuple[Address, ...] = ()
    """Peer addresses that are used for first contact only."""
    bootstrap: bool = False
    recover: bool = False
    """With `bootstrap`: every disk counts as lost, and values are restored from the nodes."""
    initial_cores: tuple[InitialCore, ...] = ()
    """The cores of a new cluster, in the same order on each of them; the first one creates it."""
    roles: tuple[str, ...] = ()
    """Singleton roles for which this process is a candidate."""
    group_size: int = 3
    """Number of replicas up to which a group grows while there are cores without a vote."""
    readiness: ReadinessRule = ReadinessRule.LEASE_OR_EVIDENCE
    timings: Timings = Timings()


@attrs.frozen
class NodeConfig:
    """Configuration of a node process; only the seeds may change after the start."""

    cluster_id: str
    member: MemberId
    incarnation: str
    """Random identifier of this start of the process."""
    zone: ZoneName
    region: str
    api_address: Address
    peer_address: Address
    seeds: tuple[Address, ...] = ()
    """Peer addresses that are used for first contact only."""
    topics: tuple[str, ...] = ("directory", "moves")
    """Ephemeral topics that the node receives."""
    readiness: ReadinessRule = ReadinessRule.LEASE_OR_EVIDENCE
    timings: Timings = Timings()
