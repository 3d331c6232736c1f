"""Deliberate mistakes in member leases, acknowledgement, partitions and singleton roles."""

from __future__ import annotations

import contextlib
from collections.abc import Iterator
from typing import Any
from unittest import mock

from zincvale.coordination.delivery import rollout
from zincvale.coordination.delivery.rollout import RolloutTracker
from zincvale.coordination.election.leader_lease import LeaderLeaseGrantor, LeaderLeaseHolder
from zincvale.coordination.election.messages import LeadershipGranted
from zincvale.coordination.leases import catch_up, lease_grantor
from zincvale.coordination.leases.core_leases import MemberLeases
from zincvale.coordination.leases.lease_grantor import LeaseGrantor
from zincvale.coordination.leases.member_lease import MemberLeaseHolder
from zincvale.coordination.node import partition_guard
from zincvale.model.machine import Send
from zincvale.simulator.mutations.registry import mutation


@mutation("no-wait-for-leases", "a change is acknowledged as soon as it is chosen")
@contextlib.contextmanager
def no_wait_for_leases() -> Iterator[None]:
    """Nodes with a lease need not hold what is acknowledged."""

    def at_once(self: Any, rules: Any) -> Any:
        done, self.pending = self.pending, []
        return done

    def always_stale(self: Any, change: Any) -> None:
        self.pending.append(change)
        self.needs_update = True

    with (
        mock.patch.object(RolloutTracker, "update", at_once),
        mock.patch.object(RolloutTracker, "add_pending", always_stale),
    ):
        yield


@mutation("no-required-version", "a new lease requires no version")
@contextlib.contextmanager
def no_required_version() -> Iterator[None]:
    """A node serves on a new lease with whatever it holds."""
    original = LeaseGrantor.renew

    def generous(self: Any, renewal: Any, newest: Any, now: float) -> Any:
        original(self, renewal, newest, now)
        return {}

    with mock.patch.object(LeaseGrantor, "renew", generous):
        yield


@contextlib.contextmanager
def _no_listening() -> Iterator[None]:
    """A restarted core does not listen to what nodes hold before it grants."""
    original = MemberLeases.handle_renewal

    def hasty(self: Any, renewal: Any, newest: Any, now: float) -> Any:
        self._context.grants_blocked_until = 0.0
        return original(self, renewal, newest, now)

    with mock.patch.object(MemberLeases, "handle_renewal", hasty):
        yield


@mutation("grant-before-caught-up", "a restarted core grants leases at once")
@contextlib.contextmanager
def grant_before_caught_up() -> Iterator[None]:
    """A core that knows nothing yet grants leases that require nothing."""
    with (
        mock.patch.object(catch_up.CatchUpTracker, "is_caught_up", lambda self, now: True),
        _no_listening(),
    ):
        yield


@mutation("leases-forgotten-early", "a core forgets leases while their holders still count them")
@contextlib.contextmanager
def leases_forgotten_early() -> Iterator[None]:
    """The grantor waits a third of the lifetime."""
    with mock.patch.object(lease_grantor, "CLOCK_RATE_ALLOWANCE", 0.33):
        yield


@mutation("island-serves", "a node that lost the cores goes on serving")
@contextlib.contextmanager
def island_serves() -> Iterator[None]:
    """A minority partition takes its own evidence for a majority's."""
    with mock.patch.object(
        partition_guard.PartitionGuard, "valid_until", lambda self, registered, now: now + 1.0
    ):
        yield


@mutation("no-registry-majority", "acknowledged without a majority of the registered nodes")
@contextlib.contextmanager
def no_registry_majority() -> Iterator[None]:
    """A majority partition serves while changes are acknowledged elsewhere."""
    with mock.patch.object(rollout, "has_majority", lambda registry, confirmed: True):
        yield


@mutation("role-without-margin", "a role's holder acts twice as long as its lease")
@contextlib.contextmanager
def role_without_margin() -> Iterator[None]:
    """The holder outlives its grants."""
    original = LeaderLeaseHolder.acts_until

    def longer(self: Any, quorum: Any) -> float:
        return original(self, quorum) + self._timings.role_lease_s

    with mock.patch.object(LeaderLeaseHolder, "acts_until", longer):
        yield


@mutation("grantor-forgets-roles", "a restarted grantor grants roles at once")
@contextlib.contextmanager
def grantor_forgets_roles() -> Iterator[None]:
    """A role is granted again while its former holder still counts the grant."""
    original = LeaderLeaseGrantor.__init__

    def hasty(self: Any, timings: Any, grants_from: float) -> None:
        original(self, timings, float("-inf"))

    with mock.patch.object(LeaderLeaseGrantor, "__init__", hasty):
        yield


@mutation("role-grants-shared", "a grantor grants a role to whoever asks")
@contextlib.contextmanager
def role_grants_shared() -> Iterator[None]:
    """Two may hold one role."""

    def generous(
        self: Any, sender: Any, request: Any, newest_epoch: int, config_version: int, now: float
    ) -> Any:
        granted = LeadershipGranted(
            request.role, request.epoch, request.requested_at, config_version
        )
        return Send(sender, granted)

    with (
        mock.patch.object(LeaderLeaseGrantor, "handle", generous),
        mock.patch.object(
            LeaderLeaseGrantor, "may_be_leased_elsewhere", lambda self, role, own, now: False
        ),
    ):
        yield


@mutation("jump-keeps-lease", "a node counts grants from when they arrive")
@contextlib.contextmanager
def lease_from_arrival() -> Iterator[None]:
    """Grants that waited in a frozen node's sockets count as fresh."""
    original = MemberLeaseHolder.valid_until

    def late(self: Any, applied_versions: dict[str, int]) -> float:
        return original(self, applied_versions) + self._config.timings.lease_ttl_s

    with mock.patch.object(MemberLeaseHolder, "valid_until", late):
        yield
