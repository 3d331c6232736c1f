"""Mutations of member leases, acknowledgements, partition handling and singleton roles."""

from __future__ import annotations

import contextlib
from collections.abc import Iterator
from typing import Any
from unittest import mock

from zincvale.coordination.config import ReadinessRule
from zincvale.coordination.delivery import rollout
from zincvale.coordination.delivery.applied_versions import AppliedVersions
from zincvale.coordination.delivery.rollout import RolloutTracker
from zincvale.coordination.election.leader_lease import LeaderLeaseGrantor, LeaderLeaseHolder
from zincvale.coordination.election.messages import LeadershipGranted
from zincvale.coordination.leases import catch_up, lease_grantor
from zincvale.coordination.leases.core_leases import MemberLeases
from zincvale.coordination.leases.lease_grantor import LeaseGrantor
from zincvale.coordination.leases.member_lease import MemberLeaseHolder
from zincvale.coordination.node import partition_guard
from zincvale.coordination.node.machine import NodeMachine
from zincvale.model.machine import Send
from zincvale.simulator.mutations.registry import mutation


@mutation("no-wait-for-leases", "a change is acknowledged as soon as it is chosen")
@contextlib.contextmanager
def no_wait_for_leases() -> Iterator[None]:
    """Changes are acknowledged although nodes with a valid lease do not hold them yet."""

    def complete_immediately(self: Any, rules: Any) -> Any:
        completed, self.pending = self.pending, []
        return completed

    def add_without_wait(self: Any, change: Any) -> None:
        self.pending.append(change)
        self.needs_update = True

    with (
        mock.patch.object(RolloutTracker, "update", complete_immediately),
        mock.patch.object(RolloutTracker, "add_pending", add_without_wait),
    ):
        yield


@mutation("no-required-version", "a new lease requires no minimum version")
@contextlib.contextmanager
def no_required_version() -> Iterator[None]:
    """A node with a new lease serves whatever version it holds."""
    original = LeaseGrantor.renew

    def renew_without_versions(self: Any, renewal: Any, newest: Any, now: float) -> Any:
        original(self, renewal, newest, now)
        return {}

    with mock.patch.object(LeaseGrantor, "renew", renew_without_versions):
        yield


@contextlib.contextmanager
def _no_catch_up_wait() -> Iterator[None]:
    """A restarted core grants leases without waiting to learn which versions nodes hold."""
    original = MemberLeases.handle_renewal

    def grant_unblocked(self: Any, renewal: Any, newest: Any, now: float) -> Any:
        self._context.grants_blocked_until = 0.0
        return original(self, renewal, newest, now)

    with mock.patch.object(MemberLeases, "handle_renewal", grant_unblocked):
        yield


@mutation("grant-before-caught-up", "a restarted core grants leases at once")
@contextlib.contextmanager
def grant_before_caught_up() -> Iterator[None]:
    """A core that has not caught up yet grants leases that require no version."""
    with (
        mock.patch.object(catch_up.CatchUpTracker, "is_caught_up", lambda self, now: True),
        _no_catch_up_wait(),
    ):
        yield


@mutation("leases-forgotten-early", "a core forgets leases while their holders still rely on them")
@contextlib.contextmanager
def leases_forgotten_early() -> Iterator[None]:
    """The grantor considers a lease expired after a third of its lifetime."""
    with mock.patch.object(lease_grantor, "CLOCK_RATE_ALLOWANCE", 0.33):
        yield


@mutation("island-serves", "a node that lost contact with the cores keeps serving")
@contextlib.contextmanager
def isolated_node_serves() -> Iterator[None]:
    """A node in a minority partition serves as if it had evidence of a majority."""
    with mock.patch.object(
        partition_guard.PartitionGuard, "valid_until", lambda self, registered, now: now + 1.0
    ):
        yield


@mutation(
    "no-registry-majority", "changes are acknowledged without a majority of the registered nodes"
)
@contextlib.contextmanager
def no_registry_majority() -> Iterator[None]:
    """Nodes in a majority partition serve while changes are acknowledged in another partition."""
    with mock.patch.object(rollout, "has_majority", lambda registry, confirmed: True):
        yield


@mutation(
    "evidence-without-registry",
    "nodes are ready on evidence although no registry majority must confirm",
    ReadinessRule.LEASE,
)
@contextlib.contextmanager
def evidence_without_registry() -> Iterator[None]:
    """Nodes without a lease count as ready, while changes are acknowledged by leases alone."""
    with mock.patch.object(NodeMachine, "_serves_on_evidence", lambda self: True):
        yield


@mutation(
    "registry-majority-with-leases",
    "acknowledgements wait for a registry majority although nodes are ready with a lease only",
    ReadinessRule.LEASE,
)
@contextlib.contextmanager
def registry_majority_with_leases() -> Iterator[None]:
    """Nothing is acknowledged any more once most nodes are lost for good."""
    with mock.patch.object(AppliedVersions, "_confirming_sets", AppliedVersions._quorum_sets):
        yield


@mutation("role-without-margin", "the leader of a role acts for twice as long as its lease")
@contextlib.contextmanager
def role_without_margin() -> Iterator[None]:
    """The leader of a role keeps acting after its grants expired."""
    original = LeaderLeaseHolder.acts_until

    def extended_acts_until(self: Any, quorum: Any) -> float:
        return original(self, quorum) + self._timings.role_lease_s

    with mock.patch.object(LeaderLeaseHolder, "acts_until", extended_acts_until):
        yield


@mutation("grantor-forgets-roles", "a restarted grantor grants roles at once")
@contextlib.contextmanager
def grantor_forgets_roles() -> Iterator[None]:
    """A restarted grantor grants a role while the former leader still relies on its grant."""
    original = LeaderLeaseGrantor.__init__

    def init_without_wait(self: Any, timings: Any, grants_from: float) -> None:
        original(self, timings, float("-inf"))

    with mock.patch.object(LeaderLeaseGrantor, "__init__", init_without_wait):
        yield


@mutation("role-grants-shared", "a grantor grants a role to every candidate that requests it")
@contextlib.contextmanager
def role_grants_shared() -> Iterator[None]:
    """Two cores may lead one role at the same time."""

    def grant_always(
        self: Any, sender: Any, request: Any, newest_epoch: int, config_version: int, now: float
    ) -> Any:
        granted = LeadershipGranted(
            request.role, request.epoch, request.requested_at, config_version
        )
        return Send(sender, granted)

    with (
        mock.patch.object(LeaderLeaseGrantor, "handle", grant_always),
        mock.patch.object(
            LeaderLeaseGrantor, "may_be_leased_elsewhere", lambda self, role, own, now: False
        ),
    ):
        yield


@mutation("jump-keeps-lease", "a node counts the lifetime of a grant from its arrival")
@contextlib.contextmanager
def lease_from_arrival() -> Iterator[None]:
    """Grants that waited in the sockets of a frozen node extend its lease as if they were new."""
    original = MemberLeaseHolder.valid_until

    def extended_valid_until(self: Any, applied_versions: dict[str, int]) -> float:
        return original(self, applied_versions) + self._config.timings.lease_ttl_s

    with mock.patch.object(MemberLeaseHolder, "valid_until", extended_valid_until):
        yield
