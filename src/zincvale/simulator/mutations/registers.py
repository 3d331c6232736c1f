"""Mutations of registers, of their storage and of their responses."""

from __future__ import annotations

import contextlib
from collections.abc import Iterator
from typing import Any
from unittest import mock

import attrs

from zincvale.coordination.leases import member_lease
from zincvale.coordination.registers import change_batch
from zincvale.coordination.registers.chosen_values import ChosenValues
from zincvale.coordination.registers.epochs import Epoch
from zincvale.coordination.registers.messages import Promise
from zincvale.coordination.registers.owner import RegisterOwner
from zincvale.coordination.registers.records import apply_update
from zincvale.coordination.registers.replica import RegisterReplica
from zincvale.coordination.replication import replica_config
from zincvale.model.machine import Send, Write
from zincvale.simulator.mutations.registry import mutation
from zincvale.storage import disk as disk_module
from zincvale.storage import version_files


@mutation("majority-of-one", "one replica counts as a majority")
@contextlib.contextmanager
def majority_of_one() -> Iterator[None]:
    """A single replica forms every quorum."""
    with (
        mock.patch.object(replica_config, "majority", lambda size: 1),
        mock.patch.object(member_lease, "majority", lambda size: 1),
    ):
        yield


@mutation("answer-before-sync", "a replica responds before its write is durable")
@contextlib.contextmanager
def answer_before_sync() -> Iterator[None]:
    """Responses are sent together with the write instead of after it."""
    original = RegisterReplica._start

    def respond_before_sync(self: Any, key: str, slot: Any, sender: Any, request: Any) -> Any:
        effects = original(self, key, slot, sender, request)
        reordered = []
        for effect in effects:
            reordered.append(effect)
            if isinstance(effect, Write) and slot.in_flight is not None:
                reordered.extend(slot.in_flight.responses)
                slot.in_flight = attrs.evolve(slot.in_flight, responses=[])
        return reordered

    with mock.patch.object(RegisterReplica, "_start", respond_before_sync):
        yield


@mutation("no-sync", "version files are renamed and their folder is not synced")
@contextlib.contextmanager
def no_folder_sync() -> Iterator[None]:
    """A power loss can remove the names of record files."""
    original = disk_module.write_durably

    def write_without_folder_sync(disk: Any, folder: Any, name: str, content: bytes) -> None:
        if not name.isdigit():
            original(disk, folder, name, content)
            return
        disk.write_synced(folder / f"{name}.aside", content)
        disk.rename(folder / f"{name}.aside", folder / name)

    with mock.patch.object(version_files, "write_durably", write_without_folder_sync):
        yield


@mutation("skip-promise", "a replica accepts writes below the epoch it promised")
@contextlib.contextmanager
def skip_promise() -> Iterator[None]:
    """A replica accepts writes with an epoch lower than the one that it promised."""
    original = RegisterReplica._start_accept

    def accept_below_promise(
        self: Any, key: str, slot: Any, sender: Any, epoch: Any, update: Any
    ) -> Any:
        if epoch < slot.state.promised:
            slot.state = attrs.evolve(slot.state, promised=epoch)
            if update.base is not None and update.base != slot.state.record.position:
                slot.state = attrs.evolve(slot.state, promised=epoch)
        return original(self, key, slot, sender, epoch, update)

    with mock.patch.object(RegisterReplica, "_start_accept", accept_below_promise):
        yield


@mutation("volatile-promise", "a promise is sent but kept in memory only")
@contextlib.contextmanager
def volatile_promise() -> Iterator[None]:
    """A replica loses its promises when it restarts."""
    original = RegisterReplica._start_prepare

    def promise_without_write(self: Any, key: str, slot: Any, sender: Any, request: Any) -> Any:
        if request.epoch <= slot.state.promised:
            return original(self, key, slot, sender, request)
        slot.state = attrs.evolve(slot.state, promised=request.epoch)
        record = slot.state.record.to_update()
        return [Send(sender, Promise(key, self._disk, request.epoch, record))]

    with mock.patch.object(RegisterReplica, "_start_prepare", promise_without_write):
        yield


@mutation("empty-disk-votes", "the vote belongs to the member, whatever disk it has")
@contextlib.contextmanager
def empty_disk_votes() -> Iterator[None]:
    """Every disk of a member votes as if it were the declared one."""

    def any_disk(member: str, disk: str) -> str:
        return f"{member}/any"

    with contextlib.ExitStack() as patches:
        for name in (
            "zincvale.coordination.replication.replica_config.replica_id",
            "zincvale.coordination.leases.catch_up.replica_id",
            "zincvale.coordination.core.context.replica_id",
            "zincvale.coordination.registers.owner.replica_id",
            "zincvale.coordination.replication.replica_set_reconciler.replica_id",
            "zincvale.coordination.replication.replica_sets.replica_id",
        ):
            with contextlib.suppress(AttributeError):
                patches.enter_context(mock.patch(name, any_disk))
        yield


@mutation("no-write-again", "a new owner serves its own record without adopting the newest one")
@contextlib.contextmanager
def no_adoption() -> Iterator[None]:
    """A new owner starts from its own last record, not from the newest record in the promises."""
    original = RegisterOwner._handle_promise

    def keep_own_record(self: Any, sender: Any, message: Promise, now: float) -> Any:
        own = self._record
        if own.position.version and own.position < message.record.position:
            message = attrs.evolve(message, record=own.to_update())
        return original(self, sender, message, now)

    with mock.patch.object(RegisterOwner, "_handle_promise", keep_own_record):
        yield


@mutation("forget-orders", "a new owner forgets the orders that were accepted before it")
@contextlib.contextmanager
def forget_orders() -> Iterator[None]:
    """A new owner applies resent orders again, since it lost the idempotency entries."""
    original = RegisterOwner._handle_promise

    def drop_idempotency_entries(self: Any, sender: Any, message: Promise, now: float) -> Any:
        record = attrs.evolve(message.record, idempotency_entries=[])
        return original(self, sender, attrs.evolve(message, record=record), now)

    with mock.patch.object(RegisterOwner, "_handle_promise", drop_idempotency_entries):
        yield


@mutation("ignore-base", "a change is accepted on any version")
@contextlib.contextmanager
def ignore_base() -> Iterator[None]:
    """All racing changes on one base version are accepted."""
    original = change_batch.ChangeBatch.add

    def add_without_base(self: Any, token: str, proposal: Any) -> Any:
        return original(self, token, attrs.evolve(proposal, base_version=None))

    with mock.patch.object(change_batch.ChangeBatch, "add", add_without_base):
        yield


@mutation("deliver-unchosen", "cores show values that no majority has accepted yet")
@contextlib.contextmanager
def deliver_unchosen() -> Iterator[None]:
    """A core shows a value as soon as an owner asks its replica to accept it."""
    original = ChosenValues.handle_accept

    def record_unchosen(self: Any, message: Any, now: float) -> None:
        original(self, message, now)
        before = self._context.replica.state(message.key).record
        record = apply_update(before, message.update)
        if record is not None:
            self.record_chosen(message.key, record.position.version, record.rows, now)

    with mock.patch.object(ChosenValues, "handle_accept", record_unchosen):
        yield


@mutation("replica-forgets-epoch", "an owner reuses the lowest epoch numbers after a restart")
@contextlib.contextmanager
def epochs_restart() -> Iterator[None]:
    """A replica promises every epoch, including those lower than one that it promised before."""
    original = RegisterReplica._start_prepare

    def promise_any_epoch(self: Any, key: str, slot: Any, sender: Any, request: Any) -> Any:
        slot.state = attrs.evolve(slot.state, promised=Epoch())
        return original(self, key, slot, sender, request)

    with mock.patch.object(RegisterReplica, "_start_prepare", promise_any_epoch):
        yield
