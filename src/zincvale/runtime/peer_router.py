"""Routes peers' messages to services by name prefix, all others to the coordination machine."""

from __future__ import annotations

import inspect
from collections.abc import Callable
from typing import Any

from tornado.ioloop import IOLoop

from zincvale.model.identifiers import MemberId
from zincvale.runtime import log_events
from zincvale.runtime.driver import MachineDriver
from zincvale.runtime.logs import log

ServiceHandler = Callable[[MemberId, Any], Any]
"""Is called with (sender, message); returns the reply, None, or an awaitable of either."""


class PeerRouter:
    """Implements `PeerEndpoint`: routes messages to services by prefix, others to the machine."""

    def __init__(self, driver: MachineDriver) -> None:
        self._driver = driver
        self._services: dict[str, ServiceHandler] = {}
        self.reply: Callable[[str, Any], bool] = lambda _token, _message: False

    def add_service(self, prefix: str, handler: ServiceHandler) -> None:
        """Route messages to `handler` whose name up to the first dot is `prefix`."""
        self._services[prefix] = handler

    def messages_received(self, sender: MemberId, messages: list[Any]) -> list[Any]:
        """Handle one-way messages; return the messages that are sent back with the response."""
        replies: list[Any] = []
        machine_messages: list[Any] = []
        for message in messages:
            handler = self._find_service(message)
            if handler is None:
                machine_messages.append(message)
                continue
            reply = self._run_service(handler, sender, message)
            if reply is not None and not inspect.isawaitable(reply):
                replies.append(reply)
        if machine_messages:
            replies += self._driver.submit_messages(sender, machine_messages)
        return replies

    def call_received(self, sender: MemberId, token: str, message: Any) -> None:
        """Handle a peer's call, whose reply is sent with `token`."""
        handler = self._find_service(message)
        if handler is None:
            self._driver.submit_call(sender, token, message)
            return
        reply = self._run_service(handler, sender, message)
        if inspect.isawaitable(reply):
            IOLoop.current().add_callback(self._reply_later, token, reply)
            return
        self.reply(token, reply)

    def call_abandoned(self, token: str) -> None:
        """Inform the machine that the caller of `token` disconnected."""
        self._driver.abandon_call(token)

    def _find_service(self, message: Any) -> ServiceHandler | None:
        prefix = message.MESSAGE_NAME.partition(".")[0]
        return self._services.get(prefix)

    def _run_service(self, handler: ServiceHandler, sender: MemberId, message: Any) -> Any:
        try:
            return handler(sender, message)
        except Exception as error:  # noqa: BLE001
            # A defect in one service must not fail the peer's batch: other messages are handled.
            log(log_events.HANDLER_FAILED, input=message.MESSAGE_NAME, error=repr(error))
            return None

    async def _reply_later(self, token: str, reply: Any) -> None:
        try:
            message = await reply
        except Exception as error:  # noqa: BLE001
            # After a defect in a service, its caller gets an empty reply instead of a timeout.
            log(log_events.HANDLER_FAILED, input="reply", error=repr(error))
            message = None
        self.reply(token, message)
