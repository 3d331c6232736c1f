"""What this core knows of the other cores: their last status and where they are reached."""

from __future__ import annotations

import attrs
import xxhash

from zincvale.coordination.config import CoreConfig
from zincvale.coordination.core.messages import Heartbeat
from zincvale.coordination.membership.messages import MemberInfo
from zincvale.model.identifiers import Address, MemberId


@attrs.frozen
class PeerStatus:
    """A status and when it arrived."""

    status: Heartbeat
    heard_at: float


class PeerTable:
    """Statuses and addresses of the other cores."""

    def __init__(self, config: CoreConfig) -> None:
        self._own = config.member
        self._silence_s = config.timings.core_silence_s
        self._heard: dict[MemberId, PeerStatus] = {}
        self._addresses: dict[MemberId, Address] = {
            core.member: core.peer_address for core in config.initial_cores
        }
        self._cores: set[MemberId] = {core.member for core in config.initial_cores}

    def note(self, sender: MemberId, status: Heartbeat, now: float) -> None:
        """Remember a status."""
        self._heard[sender] = PeerStatus(status, now)
        self.note_core(status.info)

    def note_address(self, info: MemberInfo) -> None:
        """Remember where a member is reached."""
        self._addresses[MemberId(info.member)] = Address(info.peer_address)

    def note_core(self, info: MemberInfo) -> None:
        """Remember a core and where it is reached."""
        self._cores.add(MemberId(info.member))
        self.note_address(info)

    def note_peer(self, member: MemberId, address: Address) -> None:
        """Remember where a node is reached."""
        self._addresses[member] = address

    def address_of(self, member: MemberId) -> Address | None:
        """Return the peer address of `member`, if known."""
        return self._addresses.get(member)

    def known_cores(self) -> list[MemberId]:
        """Return every other core that was ever heard of."""
        return sorted(self._cores - {self._own})

    def forget(self, member: MemberId) -> None:
        """A core left the cluster."""
        self._cores.discard(member)
        self._heard.pop(member, None)

    def status(self, member: MemberId) -> Heartbeat | None:
        """Return the last status of `member`."""
        heard = self._heard.get(member)
        return heard.status if heard else None

    def is_live(self, member: MemberId, now: float) -> bool:
        """Whether `member` is this core or was heard lately."""
        if member == self._own:
            return True
        heard = self._heard.get(member)
        return heard is not None and now - heard.heard_at <= self._silence_s

    def live(self, now: float) -> dict[MemberId, Heartbeat]:
        """Return the statuses of the other cores that were heard lately."""
        return {
            member: heard.status
            for member, heard in self._heard.items()
            if now - heard.heard_at <= self._silence_s
        }


def rendezvous_order(name: str, members: list[MemberId]) -> list[MemberId]:
    """Return `members` by their claim to `name`, the strongest first."""

    def claim(member: MemberId) -> int:
        return xxhash.xxh3_64_intdigest(f"{name}|{member}".encode())

    return sorted(members, key=claim, reverse=True)
