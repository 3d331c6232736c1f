"""Deliberate mistakes in registers, their storage and their answers."""

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
from zincvale.storage.version_files import VersionFiles


@mutation("majority-of-one", "one replica counts as a majority")
@contextlib.contextmanager
def majority_of_one() -> Iterator[None]:
    """Every quorum is reached by one."""
    with (
        mock.patch.object(replica_config, "majority", lambda size: 1),
        mock.patch.object(member_lease, "majority", lambda size: 1),
    ):
        yield


@mutation("answer-before-sync", "a replica answers before its disk took the write")
@contextlib.contextmanager
def answer_before_sync() -> Iterator[None]:
    """Answers leave together with the write."""
    original = RegisterReplica._start

    def eager(self: Any, key: str, slot: Any, sender: Any, request: Any) -> Any:
        effects = original(self, key, slot, sender, request)
        early = []
        for effect in effects:
            early.append(effect)
            if isinstance(effect, Write) and slot.in_flight is not None:
                early.extend(slot.in_flight.responses)
                slot.in_flight = attrs.evolve(slot.in_flight, responses=[])
        return early

    with mock.patch.object(RegisterReplica, "_start", eager):
        yield


@mutation("no-sync", "version files are renamed and their folder is not synced")
@contextlib.contextmanager
def no_folder_sync() -> Iterator[None]:
    """Names of record files are lost with the power."""
    original = VersionFiles._write_file

    def unsynced(self: Any, folder: Any, name: str, content: bytes) -> None:
        if not name.isdigit():
            original(self, folder, name, content)
            return
        self._disk.write_synced(folder / f"{name}.aside", content)
        self._disk.rename(folder / f"{name}.aside", folder / name)

    with mock.patch.object(VersionFiles, "_write_file", unsynced):
        yield


@mutation("skip-promise", "a replica takes writes below the epoch it promised")
@contextlib.contextmanager
def skip_promise() -> Iterator[None]:
    """Accepts are not held against the promise."""
    original = RegisterReplica._start_accept

    def careless(self: Any, key: str, slot: Any, sender: Any, epoch: Any, update: Any) -> Any:
        if epoch < slot.state.promised:
            slot.state = attrs.evolve(slot.state, promised=epoch)
            if update.base is not None and update.base != slot.state.record.position:
                slot.state = attrs.evolve(slot.state, promised=epoch)
        return original(self, key, slot, sender, epoch, update)

    with mock.patch.object(RegisterReplica, "_start_accept", careless):
        yield


@mutation("volatile-promise", "a promise is answered and kept in memory only")
@contextlib.contextmanager
def volatile_promise() -> Iterator[None]:
    """A restart forgets promises."""
    original = RegisterReplica._start_prepare

    def forgetful(self: Any, key: str, slot: Any, sender: Any, request: Any) -> Any:
        if request.epoch <= slot.state.promised:
            return original(self, key, slot, sender, request)
        slot.state = attrs.evolve(slot.state, promised=request.epoch)
        record = slot.state.record.to_update()
        return [Send(sender, Promise(key, self._disk, request.epoch, record))]

    with mock.patch.object(RegisterReplica, "_start_prepare", forgetful):
        yield


@mutation("empty-disk-votes", "the vote is the member's, whatever disk it has")
@contextlib.contextmanager
def empty_disk_votes() -> Iterator[None]:
    """Every disk of a member counts as the declared one."""

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


@mutation("no-write-again", "a new owner serves what it read without writing it again")
@contextlib.contextmanager
def no_adoption() -> Iterator[None]:
    """A new owner starts from its own last record, not from the newest among the promises."""
    original = RegisterOwner._handle_promise

    def ignorant(self: Any, sender: Any, message: Promise, now: float) -> Any:
        own = self._record
        if own.position.version and own.position < message.record.position:
            message = attrs.evolve(message, record=own.to_update())
        return original(self, sender, message, now)

    with mock.patch.object(RegisterOwner, "_handle_promise", ignorant):
        yield


@mutation("forget-orders", "a new owner forgets the orders that were accepted before it")
@contextlib.contextmanager
def forget_orders() -> Iterator[None]:
    """Resent orders are evaluated as new ones after a change of owner."""
    original = RegisterOwner._handle_promise

    def forgetful(self: Any, sender: Any, message: Promise, now: float) -> Any:
        record = attrs.evolve(message.record, idempotency_entries=[])
        return original(self, sender, attrs.evolve(message, record=record), now)

    with mock.patch.object(RegisterOwner, "_handle_promise", forgetful):
        yield


@mutation("ignore-base", "a change is taken on any version")
@contextlib.contextmanager
def ignore_base() -> Iterator[None]:
    """Racing changes on one version all win."""
    original = change_batch.ChangeBatch.add

    def careless(self: Any, token: str, proposal: Any) -> Any:
        return original(self, token, attrs.evolve(proposal, base_version=None))

    with mock.patch.object(change_batch.ChangeBatch, "add", careless):
        yield


@mutation("deliver-unchosen", "cores show values that no majority has yet")
@contextlib.contextmanager
def deliver_unchosen() -> Iterator[None]:
    """What an owner asks a replica to accept is shown at once."""
    original = ChosenValues.handle_accept

    def eager(self: Any, message: Any, now: float) -> None:
        original(self, message, now)
        before = self._context.replica.state(message.key).record
        record = apply_update(before, message.update)
        if record is not None:
            self.record_chosen(message.key, record.position.version, record.rows, now)

    with mock.patch.object(ChosenValues, "handle_accept", eager):
        yield


@mutation("replica-forgets-epoch", "an owner reuses the lowest epoch numbers after a restart")
@contextlib.contextmanager
def epochs_restart() -> Iterator[None]:
    """A replica promises any epoch anew."""
    original = RegisterReplica._start_prepare

    def forgetful(self: Any, key: str, slot: Any, sender: Any, request: Any) -> Any:
        slot.state = attrs.evolve(slot.state, promised=Epoch())
        return original(self, key, slot, sender, request)

    with mock.patch.object(RegisterReplica, "_start_prepare", forgetful):
        yield
