"""What this core knows of other processes: the cores' last heartbeats, and peer addresses."""

from __future__ import annotations

import attrs
import xxhash

from zincvale.coordination.config import CoreConfig
from zincvale.coordination.core.messages import Heartbeat
from zincvale.coordination.membership.messages import MemberInfo
from zincvale.model.identifiers import Address, MemberId


@attrs.frozen
class ReceivedHeartbeat:
    """A heartbeat and the time when it arrived, in seconds on this core's clock."""

    heartbeat: Heartbeat
    received_at: float


class PeerTable:
    """The known cores, the last heartbeat of each, and the peer addresses of all members.

    A core is live while its last heartbeat is at most `peer_timeout_s` old.
    """

    def __init__(self, config: CoreConfig) -> None:
        self._own_id = config.member
        self._timeout_s = config.timings.peer_timeout_s
        self._heartbeats: dict[MemberId, ReceivedHeartbeat] = {}
        self._addresses: dict[MemberId, Address] = {
            core.member: core.peer_address for core in config.initial_cores
        }
        self._cores: set[MemberId] = {core.member for core in config.initial_cores}

    def record_heartbeat(self, sender: MemberId, heartbeat: Heartbeat, now: float) -> None:
        """Record a heartbeat and the peer address of its sender."""
        self._heartbeats[sender] = ReceivedHeartbeat(heartbeat, now)
        self.add_core(heartbeat.info)

    def record_address(self, info: MemberInfo) -> None:
        """Record the peer address that a member reports for itself."""
        self._addresses[MemberId(info.member)] = Address(info.peer_address)

    def add_core(self, info: MemberInfo) -> None:
        """Add a core and record its peer address."""
        self._cores.add(MemberId(info.member))
        self.record_address(info)

    def set_address(self, member: MemberId, address: Address) -> None:
        """Set the peer address of a member that has not reported it itself."""
        self._addresses[member] = address

    def address_of(self, member: MemberId) -> Address | None:
        """Return the peer address of `member`, if known."""
        return self._addresses.get(member)

    def known_cores(self) -> list[MemberId]:
        """Return every other core that was added and not removed, sorted by name."""
        return sorted(self._cores - {self._own_id})

    def remove_core(self, member: MemberId) -> None:
        """Remove a core that left the cluster."""
        self._cores.discard(member)
        self._heartbeats.pop(member, None)

    def heartbeat_of(self, member: MemberId) -> Heartbeat | None:
        """Return the last heartbeat of `member`, whether it is live or not; None without one."""
        received = self._heartbeats.get(member)
        return received.heartbeat if received else None

    def last_heard_at(self, member: MemberId) -> float:
        """Return when the last heartbeat of `member` arrived; minus infinity without one."""
        received = self._heartbeats.get(member)
        return received.received_at if received else float("-inf")

    def is_live(self, member: MemberId, now: float) -> bool:
        """Whether `member` is this core, or a core whose last heartbeat is recent."""
        if member == self._own_id:
            return True
        received = self._heartbeats.get(member)
        return received is not None and now - received.received_at <= self._timeout_s

    def live(self, now: float) -> dict[MemberId, Heartbeat]:
        """Return the last heartbeat of each other core that is live."""
        return {
            member: received.heartbeat
            for member, received in self._heartbeats.items()
            if now - received.received_at <= self._timeout_s
        }


def rendezvous_order(name: str, members: list[MemberId]) -> list[MemberId]:
    """Return `members` by descending rendezvous hash with `name`.

    Every core derives the same order without a message. The separator and the hash function
    determine which core owns a key; if they change, cores of different software versions disagree
    and ownership moves between them during an upgrade.
    """

    def score(member: MemberId) -> int:
        return xxhash.xxh3_64_intdigest(f"{name}|{member}".encode())

    return sorted(members, key=score, reverse=True)
