"""Client that sends a request of a caller to one node over HTTP, once."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import attrs
import orjson
import pycurl
from tornado.curl_httpclient import CurlAsyncHTTPClient, CurlError
from tornado.httpclient import HTTPClientError, HTTPRequest, HTTPResponse

from zincvale.model.outcomes import (
    DEADLINE_HEADER,
    LAST_EVENT_ID_HEADER,
    OUTCOME_HEADER,
    REQUEST_ID_HEADER,
    RETRY_AFTER_HEADER,
    UNKNOWN_HTTP_STATUS,
    Outcome,
)
from zincvale.standins.json_body import json_object
from zincvale.standins.load.event_stream import EventStreamReader, StreamEvent
from zincvale.standins.load.request_plan import Plan
from zincvale.standins.load.response_check import ResponseCheck
from zincvale.standins.load.retry import AttemptOutcome, AttemptResult
from zincvale.standins.settings import dialled_address

CONNECT_TIMEOUT_S = 1.0
MAX_CONCURRENT_EXCHANGES = 4096
CURL_COULD_NOT_CONNECT = 7
SPEED_CHECK_WINDOW_S = 3600
"""Window of the speed check of curl; longer than any request, so that the check aborts none."""
OK_STATUS = 200


@attrs.define
class Attempt:
    """The observations and the result of one attempt."""

    request_id: str
    node: str
    status: int = 0
    result: AttemptResult = AttemptResult(AttemptOutcome.LOST)
    response_request_id: str = ""
    error: str = ""
    first_at: float | None = None
    last_chunk_at: float | None = None
    chunks: int = 0
    is_complete: bool = False
    gaps_s: list[float] = attrs.field(factory=list)


class CallerClient:
    """Sends requests to nodes.

    Parameters
    ----------
    clock : seconds on `CLOCK_BOOTTIME`.
    address_map : addresses to dial in place of advertised ones, by advertised address.
    """

    def __init__(self, clock: Callable[[], float], address_map: dict[str, str]) -> None:
        self._clock = clock
        self._address_map = address_map
        self._client = CurlAsyncHTTPClient(
            force_instance=True, max_clients=MAX_CONCURRENT_EXCHANGES
        )

    async def attempt(
        self, plan: Plan, request_id: str, address: str, check: ResponseCheck, deadline_at: float
    ) -> Attempt:
        """Send `plan` once to the node at `address`, and pass the received chunks to `check`."""
        attempt = Attempt(request_id, address)
        exchange = _Exchange(plan, attempt, check, self._clock, deadline_at)
        request = exchange.request(dialled_address(address, self._address_map))
        try:
            response = await self._client.fetch(request, raise_error=False)
        except CurlError as error:
            exchange.on_broken(error)
        except (HTTPClientError, OSError) as error:
            attempt.error = str(error)
        else:
            exchange.on_response(response)
        return attempt

    async def get_json(self, address: str, path: str, timeout_s: float) -> Any:
        """Return the JSON document at a path; raises `HTTPClientError` or `OSError`."""
        target = dialled_address(address, self._address_map)
        request = HTTPRequest(
            f"http://{target}{path}", connect_timeout=timeout_s, request_timeout=timeout_s
        )
        response = await self._client.fetch(request)
        return orjson.loads(response.body)


class _Exchange:
    """State of one HTTP exchange, which fills in an `Attempt`."""

    def __init__(
        self,
        plan: Plan,
        attempt: Attempt,
        check: ResponseCheck,
        clock: Callable[[], float],
        deadline_at: float,
    ) -> None:
        self._plan = plan
        self._attempt = attempt
        self._check = check
        self._clock = clock
        self._deadline_at = deadline_at
        self._started_at = clock()
        self._reader = EventStreamReader()
        self._body = b""
        self._interruption: AttemptResult | None = None

    def request(self, target: str) -> HTTPRequest:
        """Return the HTTP request, with the remaining time as its deadline."""
        remaining_s = max(0.0, self._deadline_at - self._started_at)
        headers = {
            "Content-Type": "application/json",
            "Expect": "",
            REQUEST_ID_HEADER: self._attempt.request_id,
            DEADLINE_HEADER: str(int(remaining_s * 1000)),
        }
        if self._plan.stream and self._check.last_event_id:
            headers[LAST_EVENT_ID_HEADER] = str(self._check.last_event_id)
        return HTTPRequest(
            f"http://{target}{self._plan.path}",
            method="POST",
            headers=headers,
            body=orjson.dumps(self._plan.body),
            connect_timeout=CONNECT_TIMEOUT_S,
            request_timeout=remaining_s + CONNECT_TIMEOUT_S,
            streaming_callback=self._on_body_bytes,
            prepare_curl_callback=self._configure_curl,
        )

    def on_response(self, response: HTTPResponse) -> None:
        """Record the result of an exchange whose response arrived completely."""
        attempt = self._attempt
        attempt.status = response.code
        outcome_name = response.headers.get(OUTCOME_HEADER, "")
        if response.code == OK_STATUS and self._plan.stream:
            attempt.result = self._stream_result()
        elif response.code == OK_STATUS:
            self._read_response()
        elif outcome_name == Outcome.REFUSED.value:
            attempt.result = self._refusal(response)
        elif outcome_name == Outcome.UNKNOWN.value or response.code == UNKNOWN_HTTP_STATUS:
            attempt.result = AttemptResult(AttemptOutcome.UNKNOWN, self._reason())
        else:
            attempt.result = AttemptResult(AttemptOutcome.LOST)
            attempt.error = f"status {response.code} without an outcome"

    def on_broken(self, error: CurlError) -> None:
        """Record the result of an exchange that ended without a complete response."""
        self._attempt.error = str(error)
        if self._should_hang_up():
            self._attempt.result = AttemptResult(AttemptOutcome.HUNG_UP)
        elif error.errno == CURL_COULD_NOT_CONNECT:
            self._attempt.result = AttemptResult(AttemptOutcome.NOT_CONNECTED)
        elif self._plan.stream and self._attempt.chunks + int(bool(self._interruption)):
            self._attempt.status = OK_STATUS
            self._attempt.result = self._stream_result()

    def _stream_result(self) -> AttemptResult:
        if self._attempt.is_complete:
            return AttemptResult(AttemptOutcome.ANSWERED)
        if self._interruption is not None:
            return self._interruption
        return AttemptResult(AttemptOutcome.INTERRUPTED)

    def _read_response(self) -> None:
        response = json_object(self._body)
        self._attempt.first_at = self._attempt.first_at or self._clock()
        self._attempt.response_request_id = str(response.get("request_id", ""))
        self._attempt.chunks = 1
        self._attempt.is_complete = True
        self._check.on_full_text(str(response.get("text", response.get("value", ""))))
        self._attempt.result = AttemptResult(AttemptOutcome.ANSWERED)

    def _refusal(self, response: HTTPResponse) -> AttemptResult:
        retry_after = response.headers.get(RETRY_AFTER_HEADER, "0")
        seconds = float(retry_after) if retry_after.isdigit() else 0.0
        return AttemptResult(AttemptOutcome.REFUSED, self._reason(), seconds)

    def _reason(self) -> str:
        return str(json_object(self._body).get("reason", ""))

    def _on_body_bytes(self, chunk: bytes) -> None:
        if not self._plan.stream:
            self._body += chunk
            return
        self._body = (self._body + chunk)[:_RETAINED_BODY_BYTES]
        for event in self._reader.feed(chunk):
            self._on_event(event)

    def _on_event(self, event: StreamEvent) -> None:
        data = json_object(event.data.encode())
        if event.event == "end":
            self._attempt.is_complete = True
            self._check.on_end(int(data.get("count", -1)))
        elif event.event == "error":
            resumable = bool(data.get("resumable", False))
            self._interruption = AttemptResult(AttemptOutcome.INTERRUPTED, resumable=resumable)
        elif event.event_id.isdigit():
            self._on_chunk(int(event.event_id), str(data.get("text", "")))

    def _on_chunk(self, index: int, text: str) -> None:
        now = self._clock()
        attempt = self._attempt
        if attempt.last_chunk_at is None:
            attempt.first_at = now
        else:
            attempt.gaps_s.append(now - attempt.last_chunk_at)
        attempt.last_chunk_at = now
        attempt.chunks += 1
        self._check.on_chunk(index, text)

    def _configure_curl(self, curl: Any) -> None:
        """Make curl check the timeouts of the caller even while no byte arrives."""
        curl.setopt(pycurl.NOPROGRESS, 0)
        # The speed check never takes effect, but makes curl call back on an idle connection.
        curl.setopt(pycurl.LOW_SPEED_LIMIT, 1)
        curl.setopt(pycurl.LOW_SPEED_TIME, SPEED_CHECK_WINDOW_S)
        curl.setopt(pycurl.XFERINFOFUNCTION, self._on_curl_progress)
        # Curl handles are reused for other requests, so the limit is set each time.
        curl.setopt(pycurl.MAX_RECV_SPEED_LARGE, self._plan.caller.read_bytes_per_second)

    def _should_hang_up(self) -> bool:
        hang_up_after_chunks = self._plan.hang_up_after_chunks
        return 0 < hang_up_after_chunks <= self._check.chunks and not self._attempt.is_complete

    def _on_curl_progress(self, *_sizes: float) -> int:
        """Return 1, which makes curl abort, on a hang-up or a timeout of the caller, else 0."""
        if self._should_hang_up():
            return 1
        now = self._clock()
        caller = self._plan.caller
        if self._attempt.last_chunk_at is not None:
            is_timed_out = now - self._attempt.last_chunk_at > caller.idle_timeout_s
        else:
            is_timed_out = now - self._started_at > caller.first_byte_timeout_s
        return int(is_timed_out)


_RETAINED_BODY_BYTES = 4096
"""How much of the body of a stream is retained to read the reason of a refusal from it."""
