"""Claim services that call each other within one process, without a network."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from random import Random
from typing import Any

import testtools

from zincvale.dataplane.claims.messages import BatchCall, BatchReply, QueryCall, ViewsCall
from zincvale.dataplane.claims.peer_call_queues import MAX_CALLS_IN_FLIGHT, PeerCallQueues
from zincvale.dataplane.claims.service import ClaimService
from zincvale.dataplane.claims.timings import ClaimTimings
from zincvale.dataplane.inference.dependencies import (
    ClaimGranted,
    ClaimRefusal,
    ClaimRefused,
    RecordedOutcome,
)
from zincvale.model.control_tables import MemberRow, Members, Role
from zincvale.model.identifiers import Address, MemberId, RequestId, RouteName, ZoneName
from zincvale.model.machine import Call
from zincvale.model.outcomes import Outcome
from zincvale.transport.peer import PeerCallError, PeerUnreachableError

REQUEST = RequestId("request-1")
ROUTE = RouteName("quotes")
NODES = {MemberId(f"node-{number}"): ZoneName(f"zone-{number % 3}") for number in range(5)}


class Cluster:
    """Five claim services with a simulated clock."""

    def __init__(self) -> None:
        self.now = 100.0
        self.lost_members: set[MemberId] = set()
        self.services: dict[MemberId, ClaimService] = {}
        for number, member in enumerate(NODES):
            self.services[member] = ClaimService(
                member, "i", Random(number), lambda: self.now, InProcessPeers(self, member)
            )
        rows = {
            member: MemberRow(member, Role.NODE, zone, Address(""), Address(""), "i")
            for member, zone in NODES.items()
        }
        for service in self.services.values():
            service.apply_registry(1, NODES)
            service.apply_members(Members(1, rows))

    async def become_ready(self) -> None:
        """Advance the clock until the quarantine after the first start has passed."""
        end = self.now + ClaimTimings().quarantine_s + 1.0
        while self.now < end:
            self.now += 0.5
            for service in self.services.values():
                service.tick(self.now)
            for _ in range(20):
                await asyncio.sleep(0)


class InProcessPeers:
    """Peer calls that get their reply in the next iteration of the event loop."""

    def __init__(self, cluster: Cluster, member: MemberId) -> None:
        self._cluster = cluster
        self._member = member

    async def call(self, member: MemberId, message: Any, timeout_s: float) -> Any:
        await asyncio.sleep(0)
        if member in self._cluster.lost_members:
            raise PeerUnreachableError(member)
        return self._cluster.services[member].handle_message(self._member, message)

    def send(self, member: MemberId, message: Any) -> None:
        raise NotImplementedError


class ClaimServiceTest(testtools.TestCase):
    def _run(self, scenario: Coroutine[Any, Any, None]) -> None:
        asyncio.run(asyncio.wait_for(scenario, 10.0))

    async def _claim(self, cluster: Cluster, number: int, digest: str = "d") -> Any:
        service = cluster.services[MemberId(f"node-{number}")]
        return await service.claim(REQUEST, digest, ROUTE, cluster.now + 5.0)

    def test_a_resend_gets_the_recorded_response(self) -> None:
        async def scenario() -> None:
            cluster = Cluster()
            await cluster.become_ready()
            first = cluster.services[MemberId("node-0")]
            self.assertEqual(ClaimGranted(), await self._claim(cluster, 0))
            self.assertTrue(first.may_dispatch(REQUEST))
            response = (Outcome.ANSWERED, 200, {"Content-Type": "text/plain"}, b"42")
            self.assertTrue(await first.record(REQUEST, *response))
            self.assertEqual(RecordedOutcome(*response), await self._claim(cluster, 3))
            other = await self._claim(cluster, 3, digest="another body")
            self.assertEqual(ClaimRefused(ClaimRefusal.OTHER_REQUEST), other)

        self._run(scenario())

    def test_a_released_request_may_run_at_another_node(self) -> None:
        async def scenario() -> None:
            cluster = Cluster()
            await cluster.become_ready()
            first = cluster.services[MemberId("node-0")]
            await self._claim(cluster, 0)
            self.assertTrue(await first.release(REQUEST))
            self.assertFalse(first.may_dispatch(REQUEST))
            self.assertEqual(ClaimGranted(), await self._claim(cluster, 1))

        self._run(scenario())

    def test_an_expired_grant_permits_a_dispatch_after_renewal(self) -> None:
        async def scenario() -> None:
            cluster = Cluster()
            await cluster.become_ready()
            first = cluster.services[MemberId("node-0")]
            await self._claim(cluster, 0)
            cluster.now += ClaimTimings().dispatch_window_s
            self.assertFalse(first.may_dispatch(REQUEST))
            self.assertTrue(await first.renew(REQUEST, cluster.now + 1.0))
            self.assertTrue(first.may_dispatch(REQUEST))

        self._run(scenario())

    def test_two_lost_nodes_do_not_stop_claims(self) -> None:
        async def scenario() -> None:
            cluster = Cluster()
            await cluster.become_ready()
            cluster.lost_members = {MemberId("node-1"), MemberId("node-2")}
            self.assertEqual(ClaimGranted(), await self._claim(cluster, 0))

        self._run(scenario())

    def test_a_cancelled_claim_is_released(self) -> None:
        async def scenario() -> None:
            cluster = Cluster()
            await cluster.become_ready()
            claim = asyncio.ensure_future(self._claim(cluster, 0))
            await asyncio.sleep(0)
            claim.cancel()
            await asyncio.gather(claim, return_exceptions=True)
            for _ in range(10):
                await asyncio.sleep(0)
            self.assertEqual(ClaimGranted(), await self._claim(cluster, 1))

        self._run(scenario())

    def test_each_call_of_a_batch_gets_its_reply(self) -> None:
        async def scenario() -> None:
            cluster = Cluster()
            await cluster.become_ready()
            peers = RecordingPeers(cluster)
            replies: dict[str, Any] = {}
            queues = PeerCallQueues(peers, lambda: cluster.now, replies.__setitem__)
            for number in range(10):
                message = ViewsCall(1) if number % 2 else QueryCall(1, f"r{number}")
                queues.call(Call(MemberId("node-1"), f"t{number}", message, 1.0))
            for _ in range(10):
                await asyncio.sleep(0)
            kinds = {token: type(reply).__name__ for token, reply in replies.items()}
            expected = {
                f"t{number}": "ViewsReply" if number % 2 else "ClaimReply" for number in range(10)
            }
            self.assertEqual(expected, kinds)
            batches = [message for message in peers.messages if isinstance(message, BatchCall)]
            self.assertEqual([10 - MAX_CALLS_IN_FLIGHT], [len(batch.calls) for batch in batches])

        self._run(scenario())

    def test_calls_queued_beyond_their_timeout_fail(self) -> None:
        async def scenario() -> None:
            cluster = Cluster()
            cluster.lost_members = {MemberId("node-1")}
            replies: dict[str, Any] = {}
            queues = PeerCallQueues(
                RecordingPeers(cluster), lambda: cluster.now, replies.__setitem__
            )
            for number in range(MAX_CALLS_IN_FLIGHT + 1):
                queues.call(Call(MemberId("node-1"), f"t{number}", ViewsCall(1), 1.0))
            cluster.now += 1.0
            for _ in range(10):
                await asyncio.sleep(0)
            self.assertEqual([None] * (MAX_CALLS_IN_FLIGHT + 1), list(replies.values()))

        self._run(scenario())


class RecordingPeers(InProcessPeers):
    """Peer calls that record the messages that are sent."""

    def __init__(self, cluster: Cluster) -> None:
        super().__init__(cluster, MemberId("node-0"))
        self.messages: list[Any] = []

    async def call(self, member: MemberId, message: Any, timeout_s: float) -> Any:
        self.messages.append(message)
        reply = await super().call(member, message, timeout_s)
        if isinstance(message, BatchCall) and not isinstance(reply, BatchReply):
            raise PeerCallError("the reply to a batch is not a BatchReply")
        return reply
