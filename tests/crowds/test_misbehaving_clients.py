"""No crowd of clients outside the limits ends a process, fills its memory or keeps others out."""

from __future__ import annotations

import logging
import tempfile
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import TypeVar

import testtools

from tests.crowds.crowd_run import NODE_PORT, CrowdResult, CrowdRun
from tests.crowds.crowds import MAX_BODY_BYTES, MAX_HEADER_BYTES
from tests.soak.documents import BASE_ROUTES, HOST
from tests.soak.event_loop import run_to_end
from tests.soak.layout import CONTROL_PORT, FRONT_PORT, READY_PORT

T = TypeVar("T")


def with_fleet(play_on: Callable[[CrowdRun], Awaitable[T]], *, is_configured: bool = True) -> T:
    """Return what `play_on` returns for a fleet of its own."""
    logging.disable(logging.CRITICAL)

    async def run(folder: Path) -> T:
        crowd_run = CrowdRun(folder)
        try:
            if is_configured:
                await crowd_run.start()
            else:
                await crowd_run.start_without_configuration()
            return await play_on(crowd_run)
        finally:
            await crowd_run.close()

    with tempfile.TemporaryDirectory() as folder:
        return run_to_end(run(Path(folder)))


def play(crowd: str, role: str, port: int, *, is_configured: bool = True) -> CrowdResult:
    """Play one crowd against a fleet of its own."""
    result = with_fleet(
        lambda crowd_run: crowd_run.meet(crowd, role, port, is_configured=is_configured),
        is_configured=is_configured,
    )
    print(f"{crowd} at {port}: {result.usage.in_words()}; beside {dict(result.beside)};", end=" ")
    print(f"crowd {result.outcomes}")
    return result


class CallersOfRequestsTest(testtools.TestCase):
    def check(self, crowd: str) -> None:
        self.assertEqual([], play(crowd, "node", FRONT_PORT).problems())

    def test_bodies_announced_far_over_the_limit(self) -> None:
        self.check("announced-far-over")

    def test_chunked_bodies_far_over_the_limit(self) -> None:
        self.check("chunked-far-over")

    def test_many_bodies_that_stop_short_of_the_limit_and_of_their_end(self) -> None:
        self.check("many-nearly-allowed")

    def test_many_bodies_of_which_a_half_comes_at_once_and_the_rest_slowly(self) -> None:
        self.check("half-then-trickle")

    def test_many_complete_bodies_of_the_largest_size_at_once(self) -> None:
        self.check("whole-at-once")

    def test_bodies_in_chunks_of_one_byte(self) -> None:
        self.check("chunks-of-one-byte")

    def test_more_silent_connections_than_there_are_descriptors(self) -> None:
        self.check("open-and-silent")

    def test_headers_without_an_end(self) -> None:
        self.check("headers-without-end")

    def test_large_answers_that_are_never_read(self) -> None:
        self.check("answers-never-read")

    def test_requests_in_a_row_whose_answers_are_never_read(self) -> None:
        self.check("many-requests-unread")

    def test_long_paths_and_many_headers(self) -> None:
        self.check("long-paths-and-many-headers")

    def test_complete_bodies_before_the_first_configuration(self) -> None:
        result = play("whole-at-once", "node", FRONT_PORT, is_configured=False)
        self.assertEqual([], result.problems())


class ProbesTest(testtools.TestCase):
    def check(self, crowd: str) -> None:
        self.assertEqual([], play(crowd, "node", READY_PORT).problems())

    def test_many_bodies_that_stop_short_of_the_limit_and_of_their_end(self) -> None:
        self.check("many-nearly-allowed")

    def test_more_silent_connections_than_there_are_descriptors(self) -> None:
        self.check("open-and-silent")


class OperatorsTest(testtools.TestCase):
    def check(self, crowd: str) -> None:
        self.assertEqual([], play(crowd, "core", CONTROL_PORT).problems())

    def test_many_bodies_that_stop_short_of_the_limit_and_of_their_end(self) -> None:
        self.check("many-nearly-allowed")

    def test_bodies_announced_far_over_the_limit(self) -> None:
        self.check("announced-far-over")

    def test_more_silent_connections_than_there_are_descriptors(self) -> None:
        self.check("open-and-silent")


class PeersTest(testtools.TestCase):
    def test_compressed_bodies_that_expand_far_over_their_size(self) -> None:
        result = play("compressed-for-peers", "node", NODE_PORT)
        self.assertEqual([], result.problems())


class StoppingTest(testtools.TestCase):
    def test_bodies_without_an_end_do_not_keep_a_node_from_stopping(self) -> None:
        status = with_fleet(lambda run: run.stop_beside("many-nearly-allowed", "node", FRONT_PORT))
        self.assertEqual(0, status)


class SingleRequestsTest(testtools.TestCase):
    """In calm, each request inside the limits is served, and each one over them is told so."""

    def statuses(self, requests: dict[str, bytes]) -> dict[str, int]:
        async def send(run: CrowdRun) -> dict[str, int]:
            return {
                name: await run.send_raw(FRONT_PORT, request) for name, request in requests.items()
            }

        return with_fleet(send)

    def test_bodies_at_the_limit_are_served_and_larger_ones_refused_for_good(self) -> None:
        requests = {
            "length": with_length(MAX_BODY_BYTES),
            "chunked": in_chunks(MAX_BODY_BYTES, 10_000),
            "small chunks": in_chunks(20_000, 1),
            "length over": with_length(MAX_BODY_BYTES + 1),
            "chunked over": in_chunks(MAX_BODY_BYTES + 1, 10_000),
        }
        expected = {
            "length": 200,
            "chunked": 200,
            "small chunks": 200,
            "length over": 413,
            "chunked over": 413,
        }
        self.assertEqual(expected, self.statuses(requests))

    def test_headers_at_the_limit_are_served_and_larger_ones_refused_for_good(self) -> None:
        requests = {
            "at the limit": with_headers(MAX_HEADER_BYTES),
            "over": with_headers(MAX_HEADER_BYTES + 1_000),
            "far over": with_headers(4 * MAX_HEADER_BYTES),
        }
        expected = {"at the limit": 200, "over": 431, "far over": 431}
        self.assertEqual(expected, self.statuses(requests))


REQUEST_LINE = f"POST /{BASE_ROUTES[0]}/calm HTTP/1.1\r\n".encode()
HEADERS = f"Host: {HOST}\r\nRequest-Id: calm\r\nDeadline-Ms: 9000\r\n".encode()


def with_length(size_bytes: int) -> bytes:
    """Return a request that announces the length of its body."""
    return REQUEST_LINE + HEADERS + b"Content-Length: %d\r\n\r\n" % size_bytes + b"z" * size_bytes


def in_chunks(size_bytes: int, chunk_bytes: int) -> bytes:
    """Return a request whose body comes in chunks."""
    chunks, rest = divmod(size_bytes, chunk_bytes)
    body = b"%x\r\n%s\r\n" % (chunk_bytes, b"z" * chunk_bytes) * chunks
    if rest:
        body += b"%x\r\n%s\r\n" % (rest, b"z" * rest)
    return REQUEST_LINE + HEADERS + b"Transfer-Encoding: chunked\r\n\r\n" + body + b"0\r\n\r\n"


def with_headers(size_bytes: int) -> bytes:
    """Return a request without a body whose headers have this size together."""
    filler = size_bytes - len(HEADERS) - len(b"Filler: \r\n")
    return REQUEST_LINE + HEADERS + b"Filler: " + b"y" * filler + b"\r\n\r\n"
