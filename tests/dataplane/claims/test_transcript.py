"""One whole exchange, approved once: a resend waits, learns that its owner died, and is told so."""

from __future__ import annotations

from typing import Any

import testtools

from tests.dataplane.claims.test_scenarios import REQUEST, Cast, settled
from zincvale.dataplane.claims.messages import ClaimReply
from zincvale.model.identifiers import MemberId

APPROVED = """\
node-1 -> 5 voters: ClaimCall: granted 5
node-1 runs request-x
node-1 -> 5 voters: RecordCall: kept 5
node-3 -> 5 voters: ClaimCall: recorded 5
node-3 is told: RecordedOutcome
node-3 -> 5 voters: CloseCall: kept 5
"""

APPROVED_LOSS = """\
node-1 -> 5 voters: ClaimCall: granted 5
node-1 runs request-x
node-1 dies
node-3 -> 5 voters: ClaimCall: held 5
node-3 -> 5 voters: CloseCall: kept 5
node-3 -> 5 voters: BlockCall: barred 5
node-3 is told: OutcomePending
"""


class Transcript:
    """Records each kind of call once, with the kinds of its responses."""

    def __init__(self, cast: Cast) -> None:
        self.lines: list[str] = []
        self._answers: dict[tuple[str, str], dict[str, set[MemberId]]] = {}
        self._positions: dict[tuple[str, str], int] = {}
        serve = cast.cluster._serve

        def noted(node: Any, sender: MemberId, message: object) -> object:
            reply = serve(node, sender, message)
            if getattr(message, "request_id", None) == REQUEST:
                self._note(sender, node.name, message, reply)
            return reply

        cast.cluster._serve = noted  # type: ignore[method-assign]

    def add(self, line: str) -> None:
        self.lines.append(line)

    def text(self) -> str:
        return "\n".join(self.lines) + "\n"

    def _note(self, sender: MemberId, voter: MemberId, message: object, reply: object) -> None:
        kind = type(message).__name__
        if kind == "QueryCall":
            return
        key = (str(sender), kind)
        status = reply.status if isinstance(reply, ClaimReply) else "kept"
        answers = self._answers.setdefault(key, {})
        answers.setdefault(status, set()).add(voter)
        if key not in self._positions:
            self._positions[key] = len(self.lines)
            self.lines.append("")
        counts = ", ".join(f"{status} {len(members)}" for status, members in answers.items())
        total = len(set().union(*answers.values()))
        self.lines[self._positions[key]] = f"{sender} -> {total} voters: {kind}: {counts}"


class TranscriptTest(testtools.TestCase):
    def _first(self, cast: Cast, transcript: Transcript) -> None:
        owner = cast.ingress_nodes[0]
        cast.cluster.attempt(cast.cluster.nodes[owner], REQUEST)
        while not cast.cluster.runs:
            cast.cluster.run_for(0.001)
        transcript.add(f"{owner} runs {REQUEST}")

    def _resend(self, cast: Cast, transcript: Transcript) -> None:
        def on_decision(decision: object) -> None:
            transcript.add(f"{other} is told: {type(decision).__name__}")

        other = cast.ingress_nodes[1]
        cast.cluster.attempt(cast.cluster.nodes[other], REQUEST, deadline_s=6.0, then=on_decision)
        cast.cluster.run_for(6.0)

    def test_a_resend_is_told_the_outcome(self) -> None:
        cast = settled()
        transcript = Transcript(cast)
        self._first(cast, transcript)
        cast.cluster.run_for(0.1)
        self._resend(cast, transcript)
        self.assertEqual(APPROVED, transcript.text())

    def test_a_resend_after_the_owner_died_is_not_run(self) -> None:
        cast = settled()
        transcript = Transcript(cast)
        self._first(cast, transcript)
        cast.cluster.crash(cast.cluster.nodes[cast.ingress_nodes[0]])
        transcript.add(f"{cast.ingress_nodes[0]} dies")
        self._resend(cast, transcript)
        self.assertEqual(APPROVED_LOSS, transcript.text())
