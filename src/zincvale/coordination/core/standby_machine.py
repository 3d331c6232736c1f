"""The state machine of a core process that has no disk.

Without a disk it can promise nothing, so it never votes, owns no key, holds no role and shows no
control state. It knows where the cores are and redirects first contact to them: operators, and
daemons whose seeds name it. One small exchange every few seconds refreshes that knowledge.
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
"""Between two requests to a responsive core."""
DISCOVERY_INTERVAL_S = 0.5
"""Between two requests to every known core and seed, while none responds."""
RESPONSIVE_WITHIN_S = 2.5
"""A core unheard for longer is not named to operators while another one is responsive. It must be
longer than REFRESH_INTERVAL_S, or the core in use counts as unresponsive between two requests."""
REMOVE_CORE_AFTER_S = 60.0
"""A core that no response names for so long, while others are named, has left the cluster."""
REDIRECT_REASON = "this process has no disk and no vote"


@attrs.frozen
class StandbyConfig:
    """Startup configuration of a standby."""

    member: MemberId
    zone: ZoneName
    seeds: tuple[Address, ...] = ()
    """Peer addresses for first contact only."""


@attrs.define
class _KnownCore:
    info: MemberInfo
    last_named_at: float
    last_heard_at: float = float("-inf")


class StandbyMachine:
    """One core process without a disk.

    Parameters
    ----------
    config : who this process is.
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
        """Apply one input and return what to do."""
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
            targets = [self._nearest(responsive)]
        else:
            self._next_request_at = now + DISCOVERY_INTERVAL_S
            targets = [*self._cores, *(member_at(seed) for seed in self._config.seeds)]
        return [*effects, *(Send(target, RequestCores()) for target in targets)]

    def _record_cores(self, sender: MemberId, infos: list[MemberInfo], now: float) -> None:
        """Record the cores that a process named; a core that responds was heard."""
        for info in infos:
            member = MemberId(info.member)
            before = self._cores.get(member)
            last_heard_at = before.last_heard_at if before is not None else float("-inf")
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

    def _nearest(self, members: list[MemberId]) -> MemberId:
        """Return one of `members`, of this process's zone if there is one."""
        zone = self._config.zone
        near = [member for member in members if self._cores[member].info.zone == zone]
        return self._random.choice(near or members)

    # --- queries --------------------------------------------------------------------------

    def core_for_operators(self, now: float) -> Address | None:
        """Return where operators reach a core: a responsive one, else any that is known."""
        members = self._responsive_cores(now) or list(self._cores)
        if not members:
            return None
        return Address(self._cores[self._nearest(members)].info.api_address)

    def address_of(self, member: MemberId) -> Address | None:
        """Return the peer address of a core, if known."""
        core = self._cores.get(member)
        return Address(core.info.peer_address) if core is not None else None

    def use_seeds(self, seeds: tuple[str, ...]) -> None:
        """Replace the peer addresses for first contact."""
        addresses = tuple(Address(seed) for seed in seeds)
        self._config = attrs.evolve(self._config, seeds=addresses)
