"""State machine of a standby: a core process without a disk.

Without a disk, the process cannot promise anything, so it never votes, owns no key, holds no role
and shows no control state. It knows the addresses of the cores and redirects operators, and daemons
that have it among their seeds, to these cores. It refreshes its knowledge with one small exchange
every few seconds.
"""

from __future__ import annotations

import random

import attrs

from zincvale.coordination import log_events
from zincvale.coordination.core.messages import Heartbeat, RequestCores, UnchangedHeartbeat
from zincvale.coordination.leases.messages import LeaseRedirect, RenewLease
from zincvale.coordination.membership.messages import MemberInfo
from zincvale.model.identifiers import Address, MemberId, ZoneName, member_at
from zincvale.model.machine import Effect, Input, Log, MessageReceived, Send, Tick

REFRESH_INTERVAL_S = 2.0
"""Interval between two requests for the known cores to a responsive core."""
DISCOVERY_INTERVAL_S = 0.5
"""Interval between two requests to all known cores and seeds while no core is responsive."""
RESPONSIVE_WITHIN_S = 2.5
"""Time since its last message within which a core counts as responsive. Operators are redirected to
other cores only if none is responsive. The time must be longer than REFRESH_INTERVAL_S, or the core
in use would count as unresponsive between two requests."""
REMOVE_CORE_AFTER_S = 60.0
"""Time after which a core is removed if responses name other cores but no longer this one."""
REDIRECT_REASON = "this process has no disk and no vote"


@attrs.frozen
class StandbyConfig:
    """Startup configuration of a standby."""

    member: MemberId
    zone: ZoneName
    seeds: tuple[Address, ...] = ()
    """Peer addresses that are used for first contact only."""


@attrs.define
class _KnownCore:
    info: MemberInfo
    last_named_at: float
    last_heard_at: float = float("-inf")


class StandbyMachine:
    """State machine of one core process without a disk.

    Parameters
    ----------
    config : identity, zone and seeds of this process.
    random_source : the only source of randomness.
    """

    def __init__(self, config: StandbyConfig, random_source: random.Random) -> None:
        self._config = config
        self._random = random_source
        self._cores: dict[MemberId, _KnownCore] = {}
        self._next_request_at = float("-inf")
        self._has_started = False

    # --- inputs ---------------------------------------------------------------------------

    def handle(self, event: Input, now: float) -> list[Effect]:
        """Process an input and return its effects."""
        match event:
            case Tick():
                return self._tick(now)
            case MessageReceived(sender, LeaseRedirect(cores)):
                self._record_cores(sender, cores, now)
            case MessageReceived(sender, Heartbeat(info) as status):
                is_of_cluster = bool(status.cluster_incarnation)
                self._record_cores(sender, [info] if is_of_cluster or not self._cores else [], now)
                return self._redirect(sender)
            case MessageReceived(sender, RenewLease() | RequestCores() | UnchangedHeartbeat()):
                return self._redirect(sender)
        return []

    def _tick(self, now: float) -> list[Effect]:
        effects: list[Effect] = []
        if not self._has_started:
            self._has_started = True
            effects.append(Log(log_events.CORE_STANDS_BY, {"zone": str(self._config.zone)}))
        if now < self._next_request_at:
            return effects
        self._remove_departed_cores(now)
        responsive = self._responsive_cores(now)
        if responsive:
            self._next_request_at = now + REFRESH_INTERVAL_S
            targets = [self._pick_in_zone(responsive)]
        else:
            self._next_request_at = now + DISCOVERY_INTERVAL_S
            targets = [*self._cores, *(member_at(seed) for seed in self._config.seeds)]
        return [*effects, *(Send(target, RequestCores()) for target in targets)]

    def _record_cores(self, sender: MemberId, infos: list[MemberInfo], now: float) -> None:
        """Record the cores that a process named; a sender that is a core becomes responsive."""
        for info in infos:
            member = MemberId(info.member)
            previous = self._cores.get(member)
            last_heard_at = previous.last_heard_at if previous is not None else float("-inf")
            self._cores[member] = _KnownCore(info, now, last_heard_at)
        if sender in self._cores:
            self._cores[sender].last_heard_at = now

    def _redirect(self, sender: MemberId) -> list[Effect]:
        if not self._cores:
            return []
        infos = [core.info for core in self._cores.values()]
        return [Send(sender, LeaseRedirect(infos, REDIRECT_REASON))]

    def _remove_departed_cores(self, now: float) -> None:
        newest = max((core.last_named_at for core in self._cores.values()), default=now)
        for member, core in list(self._cores.items()):
            if newest - core.last_named_at > REMOVE_CORE_AFTER_S:
                del self._cores[member]

    def _responsive_cores(self, now: float) -> list[MemberId]:
        return [
            member
            for member, core in self._cores.items()
            if now - core.last_heard_at <= RESPONSIVE_WITHIN_S
        ]

    def _pick_in_zone(self, members: list[MemberId]) -> MemberId:
        """Return a random one of `members`, preferably one in the zone of this process."""
        zone = self._config.zone
        in_zone = [member for member in members if self._cores[member].info.zone == zone]
        return self._random.choice(in_zone or members)

    # --- queries --------------------------------------------------------------------------

    def core_for_operators(self, now: float) -> Address | None:
        """Return the API address of a responsive core, else of any known core."""
        members = self._responsive_cores(now) or list(self._cores)
        if not members:
            return None
        return Address(self._cores[self._pick_in_zone(members)].info.api_address)

    def address_of(self, member: MemberId) -> Address | None:
        """Return the peer address of a core, if the core is known."""
        core = self._cores.get(member)
        return Address(core.info.peer_address) if core is not None else None

    def use_seeds(self, seeds: tuple[str, ...]) -> None:
        """Replace the peer addresses that are used for first contact."""
        addresses = tuple(Address(seed) for seed in seeds)
        self._config = attrs.evolve(self._config, seeds=addresses)
