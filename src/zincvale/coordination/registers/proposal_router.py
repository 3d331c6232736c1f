"""Routes changes to the local owner, or to the core that is believed to own the key.

A change is resent to the current owner of the key until it has a result or its deadline passes. The
idempotency entries of the record make it safe to resend a change.

`ProposalRouter.tick` ends a change as `not-confirmed` when it has no result `change_timeout_s`
after its arrival. There are several causes, which the response does not distinguish:

- No core serves the key, or the core that is believed to own it does not respond (`ownership`).
- The owner has no majority of disks for the write (`owner`), or for the proof that precedes a
  rejection (`ownership_proof`).
- The change is chosen but not rolled out (`delivery.rollout`): a node with a live lease lacks the
  version, too few registered nodes confirmed it, too few granting cores reported it, or a core
  counts with outdated replica sets or an outdated registry.

A `not-confirmed` from another core is not a result: the change is routed again until the deadline
at the core that received it from the caller.
"""

from __future__ import annotations

from collections.abc import Callable

import attrs

from zincvale.coordination import log_events
from zincvale.coordination.core.context import CoreContext
from zincvale.coordination.registers.change_messages import (
    IN_FORCE,
    INVALID,
    NOT_CONFIRMED,
    NOT_OWNER,
    ChangeResult,
    ForwardChange,
    ProposeChange,
)
from zincvale.coordination.registers.owner import RegisterOwner
from zincvale.coordination.registers.ownership import Ownership
from zincvale.model.identifiers import MemberId
from zincvale.model.machine import Call, Effect, Log, Reply

FORWARD_PREFIX = "forward:"
INTERNAL_PREFIX = "internal:"


@attrs.define
class _PendingProposal:
    proposal: ProposeChange
    deadline: float
    is_from_other_core: bool
    """Another core forwarded the change and resends it; it is not forwarded any further."""
    is_routed: bool = False
    forward_token: str = ""
    forwarded_to: MemberId | None = None


class ProposalRouter:
    """Routes the changes at this core that have no result yet.

    Parameters
    ----------
    on_internal_result : called with the results of changes that this process itself proposed.
    """

    def __init__(
        self,
        context: CoreContext,
        owners: dict[str, RegisterOwner],
        ownership: Ownership,
        on_internal_result: Callable[[str, ChangeResult, float], list[Effect]],
    ) -> None:
        self._context = context
        self._owners = owners
        self._ownership = ownership
        self._on_internal_result = on_internal_result
        self._pending: dict[str, _PendingProposal] = {}
        self._token_by_forward: dict[str, str] = {}
        self._forward_count = 0
        self._internal_count = 0

    def propose(self, token: str, proposal: ProposeChange, now: float) -> list[Effect]:
        """Route a change from a local caller."""
        if proposal.key not in self._owners:
            problem = f"there is no key {proposal.key!r}"
            return [
                Reply(token, ChangeResult(INVALID, problem=problem, remedy="name an existing key"))
            ]
        deadline = now + self._context.config.timings.change_timeout_s
        pending = _PendingProposal(proposal, deadline, is_from_other_core=False)
        self._pending[token] = pending
        return self._route(token, pending, now)

    def propose_internal(
        self, name: str, key: str, change: bytes, now: float, base_version: int | None = None
    ) -> list[Effect]:
        """Propose a change on behalf of this process; `on_internal_result` gets its result.

        With a `base_version`, the change is rejected if another change was applied to that version
        first.
        """
        self._internal_count += 1
        idempotency_key = f"{self._context.owner_name}:{self._internal_count}"
        proposal = ProposeChange(key, idempotency_key, base_version, change)
        return self.propose(f"{INTERNAL_PREFIX}{name}", proposal, now)

    def handle_forwarded(self, token: str, forward: ForwardChange, now: float) -> list[Effect]:
        """Route a change that another core forwarded, if this core owns the key."""
        owner = self._owners.get(forward.proposal.key)
        if owner is None or not owner.is_serving():
            return [Reply(token, ChangeResult(NOT_OWNER))]
        pending = _PendingProposal(forward.proposal, now + forward.limit_s, is_from_other_core=True)
        self._pending[token] = pending
        return self._route(token, pending, now)

    def handle_forward_reply(self, forward_token: str, result: object, now: float) -> list[Effect]:
        """Process the result of a forwarded change; None means that the call failed."""
        token = self._token_by_forward.pop(forward_token, None)
        pending = self._pending.get(token) if token is not None else None
        if token is None or pending is None or pending.forward_token != forward_token:
            return []
        if isinstance(result, ChangeResult) and result.status not in (NOT_OWNER, NOT_CONFIRMED):
            return self.finish(token, result, now)
        pending.is_routed = False
        return []

    def reroute(self, tokens: list[str], now: float) -> list[Effect]:
        """Let changes be routed again because their local owner lost the key."""
        effects: list[Effect] = []
        for token in tokens:
            pending = self._pending.get(token)
            if pending is None:
                continue
            pending.is_routed = False
            if pending.is_from_other_core:
                effects.extend(self.finish(token, ChangeResult(NOT_OWNER), now))
        return effects

    def finish(self, token: str, result: ChangeResult, now: float) -> list[Effect]:
        """Send the result of a change to its caller and remove the change."""
        pending = self._pending.pop(token, None)
        if pending is None:
            return []
        if token.startswith(INTERNAL_PREFIX):
            return self._on_internal_result(token.removeprefix(INTERNAL_PREFIX), result, now)
        return [*_log_not_applied(pending, result), Reply(token, result)]

    def tick(self, now: float) -> list[Effect]:
        """Route changes that are not routed yet; end those past their deadline."""
        effects: list[Effect] = []
        for token, pending in list(self._pending.items()):
            if now >= pending.deadline:
                effects.extend(self.finish(token, self._not_confirmed(pending), now))
            elif not pending.is_routed or self._is_forwarded_to_former_owner(pending, now):
                effects.extend(self._route(token, pending, now))
        return effects

    def _is_forwarded_to_former_owner(self, pending: _PendingProposal, now: float) -> bool:
        """Whether the change was forwarded to a core that is no longer the believed owner."""
        if pending.forwarded_to is None:
            return False
        owner = self._ownership.owner_of(pending.proposal.key, now)
        return owner is not None and owner != pending.forwarded_to

    def _route(self, token: str, pending: _PendingProposal, now: float) -> list[Effect]:
        key = pending.proposal.key
        owner = self._owners[key]
        if owner.is_serving():
            pending.is_routed = True
            pending.forwarded_to = None
            return owner.submit(token, pending.proposal, now)
        believed_owner = self._ownership.owner_of(key, now)
        if (
            pending.is_from_other_core
            or believed_owner is None
            or believed_owner == self._context.own_id
        ):
            return []
        self._forward_count += 1
        forward_token = f"{FORWARD_PREFIX}{self._forward_count}"
        pending.is_routed = True
        pending.forward_token = forward_token
        pending.forwarded_to = believed_owner
        self._token_by_forward[forward_token] = token
        remaining_s = pending.deadline - now
        timeout_s = min(remaining_s, self._context.config.timings.forward_timeout_s)
        return [
            Call(
                believed_owner,
                forward_token,
                ForwardChange(pending.proposal, remaining_s),
                timeout_s,
            )
        ]

    def _not_confirmed(self, pending: _PendingProposal) -> ChangeResult:
        return ChangeResult(
            NOT_CONFIRMED,
            current_version=self._context.chosen_version(pending.proposal.key),
            problem="the change is not confirmed everywhere yet",
            remedy="send the same order again",
        )


def _log_not_applied(pending: _PendingProposal, result: ChangeResult) -> list[Effect]:
    """Log at the core that was called why a change has no effect; a read proposes no change."""
    proposal = pending.proposal
    if result.status == IN_FORCE or pending.is_from_other_core or not proposal.change:
        return []
    fields = {
        "key": proposal.key,
        "idempotency_key": proposal.idempotency_key,
        "status": result.status,
        "current_version": result.current_version,
        "problem": result.problem,
    }
    return [Log(log_events.CHANGE_NOT_APPLIED, fields)]
