"""Read access of the control API to the core that runs in the same process."""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence

from zincvale.controlplane.core_view import ReplicaRow, RoleRow
from zincvale.controlplane.directory.row_codec import DIRECTORY_TOPIC, DirectoryDecoder
from zincvale.controlplane.intent.row_codec import IntentDecoder
from zincvale.controlplane.placement.draining_row_codec import MOVES_TOPIC
from zincvale.coordination.changes import KeyView
from zincvale.coordination.core.machine import CoreMachine
from zincvale.coordination.replication.replica_sets import INTENT_KEY
from zincvale.model.control_tables import Directory, Intent, Members
from zincvale.model.identifiers import Address, MemberId, ZoneName


class LocalCoreView:
    """Implements `controlplane.core_view.CoreView`; decodes a table only when it changed."""

    def __init__(self, machine: CoreMachine, clock: Callable[[], float]) -> None:
        self._machine = machine
        self._clock = clock
        self._intent = IntentDecoder()
        self._directory = DirectoryDecoder()

    def may_show_state(self) -> bool:
        """Whether the control state known here is the newest that was acknowledged."""
        return self._machine.may_show_state(self._clock())

    def intent_rows(self) -> KeyView:
        """Return the rows of the newest chosen intent."""
        return self._machine.value(INTENT_KEY)

    def intent(self) -> Intent:
        """Return the newest chosen intent, decoded."""
        rows = self.intent_rows()
        if rows.version != self._intent.intent.version:
            self._intent.update(rows.version, rows.rows)
        return self._intent.intent

    def members(self) -> Members:
        """Return the members with live leases."""
        return self._machine.members(self._clock())

    def applied_versions(self) -> Mapping[MemberId, int]:
        """Return the intent version that each live node last reported as applied."""
        return self._machine.applied_versions(INTENT_KEY)

    def directory(self) -> Directory:
        """Return the newest published directory of servers."""
        topic = self._machine.topic(DIRECTORY_TOPIC)
        decoded = self._directory.directory
        if (topic.epoch, topic.version) != (decoded.epoch, decoded.version):
            self._directory.update(topic.epoch, topic.version, topic.rows)
        return self._directory.directory

    def moves(self) -> Mapping[str, bytes]:
        """Return the published rows of planned and finished moves."""
        return self._machine.topic(MOVES_TOPIC).rows

    def roles(self) -> Sequence[RoleRow]:
        """Return the singleton roles with their holders and epochs."""
        return [
            RoleRow(role, MemberId(holder) if holder else None, epoch)
            for role, (holder, epoch) in self._machine.role_holders(self._clock()).items()
        ]

    def replicas(self) -> Sequence[ReplicaRow]:
        """Return the replicas of the control state with their status."""
        return [
            ReplicaRow(
                member=row.member,
                zone=ZoneName(row.zone),
                peer_address=Address(row.peer_address),
                live=row.live,
                voting=row.voting,
                disk=row.disk,
                chosen_version=row.chosen_version,
            )
            for row in self._machine.replica_statuses(self._clock())
        ]
