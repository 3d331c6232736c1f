"""Learner of a core: the newest chosen value of every key.

A core learns that its own accepted record was chosen, is told so by the owner of the key, or
fetches the value from another core.
"""

from __future__ import annotations

from collections.abc import Callable

from zincvale.coordination.changes import Rows
from zincvale.coordination.core.context import CoreContext
from zincvale.coordination.core.messages import Heartbeat
from zincvale.coordination.delivery.long_poll_server import delta_from_message, delta_message
from zincvale.coordination.delivery.versioned_table import VersionedTable
from zincvale.coordination.registers.messages import Accept, Chosen, ChosenValue, FetchValue
from zincvale.coordination.replication.replica_sets import REPLICA_SETS_KEY
from zincvale.model.identifiers import MemberId
from zincvale.model.machine import Effect, Send

FETCH_INTERVAL_S = 0.2
"""Minimum interval between two fetches of the same key. With a shorter one, every heartbeat of
every core would start a fetch."""


class ChosenValues:
    """Stores the newest value of every key that this core knows to be chosen.

    Parameters
    ----------
    on_chosen : called with key, version and time when a newer value of a key becomes known.
    """

    def __init__(self, context: CoreContext, on_chosen: Callable[[str, int, float], None]) -> None:
        self._context = context
        self._on_chosen = on_chosen
        self._fetched_at: dict[str, float] = {}

    def record_chosen(self, key: str, version: int, rows: Rows, now: float) -> None:
        """Store a value that is known to be chosen, unless it is older than the stored one."""
        table = self._context.values.setdefault(key, VersionedTable())
        if version <= table.version:
            return
        table.replace(version, rows)
        self._on_newer_value(key, table, now)

    def handle_accept(self, accept: Accept, now: float) -> None:
        """Learn from the owner's next proposal that the record accepted here was chosen."""
        record = self._context.replica.state(accept.key).record
        same_epoch = record.position.epoch == accept.epoch
        if same_epoch and record.position.version <= accept.chosen_version:
            self.record_chosen(accept.key, record.position.version, record.rows, now)

    def handle_chosen(self, sender: MemberId, chosen: Chosen, now: float) -> list[Effect]:
        """Store the record accepted here if it is the chosen one, else fetch the chosen value."""
        record = self._context.replica.state(chosen.key).record
        if record.position == chosen.position:
            self.record_chosen(chosen.key, record.position.version, record.rows, now)
            return []
        return self._fetch(sender, chosen.key, chosen.position.version, now)

    def handle_fetch(self, sender: MemberId, fetch: FetchValue) -> list[Effect]:
        """Send the changes since the requester's version, if there are any."""
        table = self._context.values.get(fetch.key)
        if table is None or table.version <= fetch.version:
            return []
        return [Send(sender, ChosenValue(delta_message(fetch.key, table.since(fetch.version))))]

    def handle_value(self, value: ChosenValue, now: float) -> None:
        """Store a fetched value."""
        delta = value.delta
        table = self._context.values.setdefault(delta.name, VersionedTable())
        if delta.version <= table.version:
            return
        if table.apply(delta_from_message(delta)):
            self._on_newer_value(delta.name, table, now)

    def handle_heartbeat(self, sender: MemberId, status: Heartbeat, now: float) -> list[Effect]:
        """Fetch values that are newer at the sender than at this core."""
        effects: list[Effect] = []
        for key_status in status.keys:
            effects.extend(self._fetch(sender, key_status.key, key_status.chosen_version, now))
        return effects

    def _fetch(self, sender: MemberId, key: str, version: int, now: float) -> list[Effect]:
        known_version = self._context.chosen_version(key)
        if (
            version <= known_version
            or now - self._fetched_at.get(key, float("-inf")) < FETCH_INTERVAL_S
        ):
            return []
        self._fetched_at[key] = now
        return [Send(sender, FetchValue(key, known_version))]

    def _on_newer_value(self, key: str, table: VersionedTable, now: float) -> None:
        if key == REPLICA_SETS_KEY:
            self._context.use_replica_sets(table.version, table.rows)
        self._context.notifications.keys.add(key)
        self._on_chosen(key, table.version, now)
