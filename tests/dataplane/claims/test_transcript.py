"""Approved transcripts of the calls for a resend, with a live and with a crashed owner."""

from __future__ import annotations

from typing import Any

import testtools

from tests.dataplane.claims.test_scenarios import REQUEST, ScenarioSetup, start_cluster
from zincvale.dataplane.claims.messages import ClaimReply
from zincvale.model.identifiers import MemberId

APPROVED = """\
node-1 -> 5 voters: ClaimCall: granted 5
node-1 runs request-x
node-1 -> 5 voters: RecordCall: kept 5
node-3 -> 5 voters: ClaimCall: recorded 5
node-3 decides: RecordedOutcome
node-3 -> 5 voters: CloseCall: kept 5
"""

APPROVED_LOSS = """\
node-1 -> 5 voters: ClaimCall: granted 5
node-1 runs request-x
node-1 crashes
node-3 -> 5 voters: ClaimCall: held 5
node-3 -> 5 voters: CloseCall: kept 5
node-3 -> 5 voters: BlockCall: barred 5
node-3 decides: OutcomePending
"""


class Transcript:
    """Records each kind of call of each sender once, with the number of replies of each status."""

    def __init__(self, setup: ScenarioSetup) -> None:
        self.lines: list[str] = []
        self._voters_by_status: dict[tuple[str, str], dict[str, set[MemberId]]] = {}
        self._positions: dict[tuple[str, str], int] = {}
        serve = setup.cluster._serve

        def serve_and_record(node: Any, sender: MemberId, message: object) -> object:
            reply = serve(node, sender, message)
            if getattr(message, "request_id", None) == REQUEST:
                self._record(sender, node.name, message, reply)
            return reply

        setup.cluster._serve = serve_and_record  # type: ignore[method-assign]

    def add(self, line: str) -> None:
        self.lines.append(line)

    def text(self) -> str:
        return "\n".join(self.lines) + "\n"

    def _record(self, sender: MemberId, voter: MemberId, message: object, reply: object) -> None:
        kind = type(message).__name__
        if kind == "QueryCall":
            return
        key = (str(sender), kind)
        status = reply.status if isinstance(reply, ClaimReply) else "kept"
        voters_by_status = self._voters_by_status.setdefault(key, {})
        voters_by_status.setdefault(status, set()).add(voter)
        if key not in self._positions:
            self._positions[key] = len(self.lines)
            self.lines.append("")
        counts = ", ".join(
            f"{status} {len(members)}" for status, members in voters_by_status.items()
        )
        total = len(set().union(*voters_by_status.values()))
        self.lines[self._positions[key]] = f"{sender} -> {total} voters: {kind}: {counts}"


class TranscriptTest(testtools.TestCase):
    def _run_at_first_node(self, setup: ScenarioSetup, transcript: Transcript) -> None:
        owner = setup.ingress_nodes[0]
        setup.cluster.send_request(setup.cluster.nodes[owner], REQUEST)
        while not setup.cluster.runs:
            setup.cluster.run_for(0.001)
        transcript.add(f"{owner} runs {REQUEST}")

    def _resend(self, setup: ScenarioSetup, transcript: Transcript) -> None:
        def on_decision(decision: object) -> None:
            transcript.add(f"{other} decides: {type(decision).__name__}")

        other = setup.ingress_nodes[1]
        setup.cluster.send_request(
            setup.cluster.nodes[other], REQUEST, deadline_s=6.0, on_decision=on_decision
        )
        setup.cluster.run_for(6.0)

    def test_a_resend_gets_the_recorded_outcome(self) -> None:
        setup = start_cluster()
        transcript = Transcript(setup)
        self._run_at_first_node(setup, transcript)
        setup.cluster.run_for(0.1)
        self._resend(setup, transcript)
        self.assertEqual(APPROVED, transcript.text())

    def test_a_resend_after_a_crash_of_the_owner_does_not_run(self) -> None:
        setup = start_cluster()
        transcript = Transcript(setup)
        self._run_at_first_node(setup, transcript)
        setup.cluster.crash(setup.cluster.nodes[setup.ingress_nodes[0]])
        transcript.add(f"{setup.ingress_nodes[0]} crashes")
        self._resend(setup, transcript)
        self.assertEqual(APPROVED_LOSS, transcript.text())
