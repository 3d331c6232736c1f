"""A node with its claim service, assembled as the node daemon does it."""

from __future__ import annotations

import random
from typing import Any

from zincvale.coordination.config import NodeConfig
from zincvale.coordination.node.machine import NodeMachine
from zincvale.coordination.replication.replica_sets import REGISTRY_KEY
from zincvale.daemons.registry_rows import registered_zones
from zincvale.dataplane.claims.events import (
    ClaimRequested,
    Confirmed,
    Decided,
    LiveMembersChanged,
    OutcomeReached,
    ReleaseRequested,
    RenewalRequested,
    ViewsReceived,
    WakeAt,
)
from zincvale.dataplane.claims.messages import ViewList
from zincvale.dataplane.claims.node_machine import ClaimsNode
from zincvale.dataplane.claims.timings import ClaimTimings
from zincvale.model.identifiers import MemberId
from zincvale.model.machine import (
    Call,
    CallFailed,
    CallReceived,
    CallReplied,
    Effect,
    Input,
    Reply,
    Tick,
)

CLAIMS_MESSAGES = "claims."
CLAIMS_TOKEN = "claims|"
"""Marks the tokens of calls that the claim service made."""

LocalInput = ClaimRequested | RenewalRequested | OutcomeReached | ReleaseRequested
Result = Decided | Confirmed


class NodeWithClaims(NodeMachine):
    """`NodeMachine` and `ClaimsNode` in one process.

    Attributes
    ----------
    results : decisions and confirmations that the callers have not taken yet.
    wake_at : when the claim service wants a tick of its own.
    """

    def __init__(self, config: NodeConfig, random: random.Random, now: float) -> None:
        super().__init__(config, random, now)
        self._member = config.member
        self.claims = ClaimsNode(config.member, config.incarnation, random, ClaimTimings(), now)
        self.results: list[Result] = []
        self.wake_at: list[float] = []

    def handle(self, event: Input | LocalInput, now: float) -> list[Effect]:
        """Apply one input to the part it is for, or to both."""
        match event:
            case ClaimRequested() | RenewalRequested() | OutcomeReached() | ReleaseRequested():
                return self._feed_claims(event, now)
            case CallReceived(_, _, message) if _is_of_claims(message):
                return self._feed_claims(event, now)
            case CallReplied(token, message) if token.startswith(CLAIMS_TOKEN):
                replied = CallReplied(token.removeprefix(CLAIMS_TOKEN), message)
                return self._feed_claims(replied, now)
            case CallFailed(token, reason) if token.startswith(CLAIMS_TOKEN):
                failed = CallFailed(token.removeprefix(CLAIMS_TOKEN), reason)
                return self._feed_claims(failed, now)
        effects = super().handle(event, now)
        effects.extend(self._follow_control_state(now))
        if isinstance(event, Tick):
            effects.extend(self._feed_claims(event, now))
        return effects

    def _follow_control_state(self, now: float) -> list[Effect]:
        changes = self.take_changes()
        effects: list[Effect] = []
        if changes.members:
            rows = self.members(now).rows
            live = {member: row.incarnation for member, row in rows.items()}
            effects.extend(self._feed_claims(LiveMembersChanged(live), now))
        if REGISTRY_KEY in changes.keys:
            view = self.value(REGISTRY_KEY)
            zones = {str(node): str(zone) for node, zone in registered_zones(view.rows).items()}
            effects.extend(self._feed_claims(ViewsReceived([ViewList(view.version, zones)]), now))
        return effects

    def _feed_claims(self, event: Any, now: float) -> list[Effect]:
        effects: list[Effect] = []
        for effect in self.claims.handle(event, now):
            match effect:
                case Call(to) if to == self._member:
                    effects.extend(self._call_itself(effect, now))
                case Call(to, token, message, timeout_s):
                    effects.append(Call(to, CLAIMS_TOKEN + token, message, timeout_s))
                case Decided() | Confirmed():
                    self.results.append(effect)
                case WakeAt(at):
                    self.wake_at.append(at)
                case _:
                    effects.append(effect)
        return effects

    def _call_itself(self, call: Call, now: float) -> list[Effect]:
        """Handle a call of this node to itself."""
        effects: list[Effect] = []
        received = CallReceived(MemberId(self._member), call.token, call.message)
        for effect in self._feed_claims(received, now):
            if isinstance(effect, Reply) and effect.token == call.token:
                effects.extend(self._feed_claims(CallReplied(call.token, effect.message), now))
            else:
                effects.append(effect)
        return effects


def _is_of_claims(message: Any) -> bool:
    return str(message.MESSAGE_NAME).startswith(CLAIMS_MESSAGES)
