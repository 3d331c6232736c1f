"""A node's state machine combined with its claim service, as in the node daemon."""

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

CLAIMS_MESSAGE_PREFIX = "claims."
"""Prefix of the names of the claim service's messages."""
CLAIMS_TOKEN_PREFIX = "claims|"
"""Prefix that is added to the tokens of calls from the claim service."""

LocalInput = ClaimRequested | RenewalRequested | OutcomeReached | ReleaseRequested
Result = Decided | Confirmed


class NodeWithClaims(NodeMachine):
    """Runs `NodeMachine` and `ClaimsNode` in one process.

    Attributes
    ----------
    results : decisions and confirmations that the callers have not processed yet.
    wake_times : local times at which the claim service requested additional ticks.
    """

    def __init__(self, config: NodeConfig, random_source: random.Random, now: float) -> None:
        super().__init__(config, random_source, now)
        self._member = config.member
        self.claims = ClaimsNode(
            config.member, config.incarnation, random_source, ClaimTimings(), now
        )
        self.results: list[Result] = []
        self.wake_times: list[float] = []

    def handle(self, event: Input | LocalInput, now: float) -> list[Effect]:
        """Apply an input to the node's machine, to the claim service, or to both."""
        match event:
            case ClaimRequested() | RenewalRequested() | OutcomeReached() | ReleaseRequested():
                return self._feed_claims(event, now)
            case CallReceived(_, _, message) if _is_claims_message(message):
                return self._feed_claims(event, now)
            case CallReplied(token, message) if token.startswith(CLAIMS_TOKEN_PREFIX):
                replied = CallReplied(token.removeprefix(CLAIMS_TOKEN_PREFIX), message)
                return self._feed_claims(replied, now)
            case CallFailed(token, reason) if token.startswith(CLAIMS_TOKEN_PREFIX):
                failed = CallFailed(token.removeprefix(CLAIMS_TOKEN_PREFIX), reason)
                return self._feed_claims(failed, now)
        effects = super().handle(event, now)
        effects.extend(self._forward_control_state_changes(now))
        if isinstance(event, Tick):
            effects.extend(self._feed_claims(event, now))
        return effects

    def _forward_control_state_changes(self, now: float) -> list[Effect]:
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
                    effects.extend(self._handle_call_to_self(effect, now))
                case Call(to, token, message, timeout_s):
                    effects.append(Call(to, CLAIMS_TOKEN_PREFIX + token, message, timeout_s))
                case Decided() | Confirmed():
                    self.results.append(effect)
                case WakeAt(at):
                    self.wake_times.append(at)
                case _:
                    effects.append(effect)
        return effects

    def _handle_call_to_self(self, call: Call, now: float) -> list[Effect]:
        """Handle a call from the claim service to its own node without sending a message."""
        effects: list[Effect] = []
        received = CallReceived(MemberId(self._member), call.token, call.message)
        for effect in self._feed_claims(received, now):
            if isinstance(effect, Reply) and effect.token == call.token:
                effects.extend(self._feed_claims(CallReplied(call.token, effect.message), now))
            else:
                effects.append(effect)
        return effects


def _is_claims_message(message: Any) -> bool:
    return str(message.MESSAGE_NAME).startswith(CLAIMS_MESSAGE_PREFIX)
