"""Reading the list of servers: pages, failures, and the announcement to other cores."""

from __future__ import annotations

import asyncio

import testtools

from zincvale.controlplane.directory.messages import ListRead
from zincvale.controlplane.directory.server_discovery import ListedServer, ServerDiscovery
from zincvale.coordination.delivery.messages import PublishTopic, TopicPublished
from zincvale.daemons.discovery_runner import MAX_PAGES, DiscoveryRunner
from zincvale.daemons.forwarding_dialects import ListPage
from zincvale.daemons.http_fetch import FetchResult
from zincvale.model.errors import MalformedBodyError

ADDRESS = "10.0.9.9:80"
NO_RESPONSE = FetchResult(0, b"", "nobody listens", False)


class PagesDialect:
    """Reads bodies of the form `servers|next`: comma-separated names and the next page's token."""

    def list_path(self, page):
        return f"/list/{page}"

    def read_page(self, body):
        server_names, separator, token = body.decode().partition("|")
        if not separator:
            raise MalformedBodyError("no separator", "ask again")
        servers = [
            ListedServer(name, f"10.0.0.1:{name[1:]}", "p", "z1")
            for name in server_names.split(",")
        ]
        return ListPage(servers, token)

    def is_throttled(self, result):
        return result.status == 429


class FakeFetcher:
    def __init__(self, responses):
        self.responses = responses
        self.requested_paths = []

    async def get(self, address, path, timeout_s):
        self.requested_paths.append(path)
        return self.responses(path) if callable(self.responses) else self.responses.pop(0)


class FakeDriver:
    def __init__(self):
        self.published = []

    async def call_local(self, message):
        self.published.append(message)
        return TopicPublished(True, 1)


def ok_response(body: str) -> FetchResult:
    return FetchResult(200, body.encode())


class DiscoveryRunnerTest(testtools.TestCase):
    def read_with(self, responses, readings: int = 1) -> DiscoveryRunner:
        """Tick the runner of one core `readings` times, 2 s apart, and return the runner."""
        self.now = 100.0
        self.driver = FakeDriver()
        self.fetcher = FakeFetcher(responses)
        self.announced: list[object] = []
        self.observed: list[object] = []
        runner = DiscoveryRunner(
            ServerDiscovery("core-1/a", 0.8, self.now),
            PagesDialect(),
            self.fetcher,
            ADDRESS,
            self.driver,
            lambda: self.now,
            lambda: 1_000_000.0 + self.now,
            self.announced.append,
            self.observed.append,
        )

        async def main() -> None:
            for _ in range(readings):
                self.now += 2.0
                runner.tick(0, 0, self.now)
                for _ in range(MAX_PAGES + 10):
                    await asyncio.sleep(0)

        asyncio.run(main())
        return runner

    def server_names(self, runner: DiscoveryRunner) -> list[str]:
        return sorted(runner.machine.rows)

    def test_every_page_of_the_list_is_read(self) -> None:
        runner = self.read_with([ok_response("s1,s2|next"), ok_response("s3|")])
        self.assertEqual(["/list/", "/list/next"], self.fetcher.requested_paths)
        self.assertEqual(["s1", "s2", "s3"], self.server_names(runner))

    def test_a_list_that_was_read_is_published_and_announced_to_the_other_cores(self) -> None:
        self.read_with([ok_response("s1|")])
        self.assertIsInstance(self.driver.published[0], PublishTopic)
        self.assertIn(ListRead, [type(each) for each in self.announced])

    def test_a_list_with_an_unavailable_page_does_not_change_the_servers(self) -> None:
        runner = self.read_with(
            [ok_response("s1,s2|"), ok_response("s1|next"), NO_RESPONSE], readings=2
        )
        self.assertEqual(["s1", "s2"], self.server_names(runner))

    def test_a_malformed_page_does_not_change_the_servers(self) -> None:
        runner = self.read_with([ok_response("s1,s2|"), ok_response("garbage")], readings=2)
        self.assertEqual(["s1", "s2"], self.server_names(runner))

    def test_reading_a_list_with_endless_pages_is_aborted(self) -> None:
        runner = self.read_with(lambda path: ok_response("s1|again"))
        self.assertEqual(MAX_PAGES, len(self.fetcher.requested_paths))
        self.assertEqual([], self.server_names(runner))

    def test_no_list_is_requested_without_a_list_address(self) -> None:
        runner = self.read_with([NO_RESPONSE])
        runner._address = ""
        runner.tick(0, 0, self.now + 10.0)
        self.assertEqual(1, len(self.fetcher.requested_paths))
