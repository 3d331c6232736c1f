"""Relay process of the fleet rig: `python -m zincvale.fleet.relay_main --settings FILE`.

Its control address takes `POST /links` with a `LinkChange`, and `GET /ready`.
"""

from __future__ import annotations

import asyncio
import random
import signal
import sys
from http import HTTPStatus
from pathlib import Path

import fire
import orjson
import tornado.httpserver
import tornado.web
import yaml

from zincvale.fleet.relay import RelayedLink, split_address
from zincvale.fleet.relay_links import LinkChange, RelaySettings
from zincvale.model.checked import read_checked
from zincvale.model.errors import InvalidInputError, StartupError, ZincvaleError

EXIT_FAILED = 1


class ReadyHandler(tornado.web.RequestHandler):
    """Reports that every listener is open."""

    def get(self) -> None:
        """Respond with 200: the control server starts after the listeners."""
        self.finish({"ready": True})


class LinksHandler(tornado.web.RequestHandler):
    """Changes the state of links."""

    def initialize(self, links: dict[str, RelayedLink]) -> None:
        """Store the relay's links, by name."""
        self.links = links

    def post(self) -> None:
        """Apply one `LinkChange`, to all its links or to none."""
        try:
            change = read_checked(LinkChange, orjson.loads(self.request.body), "link change")
            unknown = [name for name in change.links if name not in self.links]
            if unknown:
                raise InvalidInputError(
                    f"no link {unknown[0]!r}", "name a link of the settings file"
                )
        except (ZincvaleError, ValueError) as error:
            self.set_status(HTTPStatus.UNPROCESSABLE_ENTITY)
            self.finish({"problem": str(error)})
            return
        for name in change.links:
            self.links[name].change(change.state)
        self.finish({"changed": len(change.links)})


async def serve(settings: RelaySettings) -> None:
    """Open every link and the control address, and serve until SIGTERM or SIGINT."""
    generator = random.Random(settings.seed)
    links = {link.name: RelayedLink(link, generator) for link in settings.links}
    for link in links.values():
        _open(link)
    application = tornado.web.Application(
        [("/ready", ReadyHandler), ("/links", LinksHandler, {"links": links})],
        log_function=lambda _handler: None,
    )
    host, port = split_address(settings.control_address)
    tornado.httpserver.HTTPServer(application).listen(port, host)
    ended = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, ended.set)
    await ended.wait()
    for link in links.values():
        link.close()


def _open(link: RelayedLink) -> None:
    try:
        link.open()
    except OSError as error:
        raise StartupError(
            f"relay {link.link.name} cannot listen on {link.link.listen}: {error.strerror}",
            "end the other fleet run, or pass another --network",
        ) from error


def run(settings: str) -> None:
    """Run a relay process with the settings in the file `settings`."""
    data = yaml.safe_load(Path(settings).read_text(encoding="utf-8"))
    try:
        asyncio.run(serve(read_checked(RelaySettings, data, settings)))
    except ZincvaleError as error:
        print(error, file=sys.stderr)
        sys.exit(EXIT_FAILED)


if __name__ == "__main__":
    fire.Fire(run)
