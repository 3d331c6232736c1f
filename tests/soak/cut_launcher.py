"""Starts a daemon as `deploy/start.py` does, on a network in which machines can be cut off.

Connections across a cut fall silent: neither side reads a byte from the other until the cut ends,
and no connection is closed or reset by it. What was written meanwhile is read after the end, as TCP
sends it again. The kernel acknowledges it at once, so nobody notices a cut by unacknowledged bytes.
A connection that is opened across a cut comes up when the cut ends, or is silent until then.

The daemon connects from the address of its machine, so that both sides know which machines a
connection joins. Run as `cut_launcher.py ROLE`, with `SOAK_CUTS` and `SOAK_ADDRESS` set.
"""

from _signal import SIG_BLOCK, SIGHUP, pthread_sigmask

# As in deploy/start.py: a hang-up during the start stays pending.
pthread_sigmask(SIG_BLOCK, {SIGHUP})

import asyncio.selector_events  # noqa: E402
import os  # noqa: E402
import runpy  # noqa: E402
import socket  # noqa: E402
import sys  # noqa: E402
import time  # noqa: E402
from collections.abc import Callable  # noqa: E402
from pathlib import Path  # noqa: E402
from typing import Any  # noqa: E402

import pycurl  # noqa: E402

START_SCRIPT = Path(__file__).resolve().parents[2] / "deploy" / "start.py"
READ_INTERVAL_S = 0.02
"""Interval between two reads of the file of cuts."""
UNBOUND_PORT = 0
"""Port of a socket that is not bound yet; binding to it chooses a free one."""
RETRY_INTERVAL_S = 0.02
"""Interval between two looks at whether a cut that holds back an event has ended."""


class Cuts:
    """The cuts of the moment: each line of the file lists the addresses inside one cut."""

    def __init__(self, path: Path, own_address: str) -> None:
        self._path = path
        self._own_address = own_address
        self._network = own_address.split(".")[:2]
        self._insides: list[frozenset[str]] = []
        self._read_at = 0.0

    def separates(self, peer: str) -> bool:
        """Whether a cut lies between this machine and `peer`."""
        self._refresh()
        if not self._insides or not self._is_machine(peer):
            return False
        return any((self._own_address in inside) != (peer in inside) for inside in self._insides)

    def _is_machine(self, address: str) -> bool:
        """Whether an address is a machine's; callers, servers and the list are never cut off."""
        parts = address.split(".")
        return parts[:2] == self._network and 0 < int(parts[2]) < 100

    def _refresh(self) -> None:
        now = time.monotonic()
        if now < self._read_at + READ_INTERVAL_S:
            return
        self._read_at = now
        try:
            lines = self._path.read_text(encoding="ascii").splitlines()
        except FileNotFoundError:
            lines = []
        self._insides = [frozenset(line.split()) for line in lines]


def endpoints(fd: int) -> tuple[str, str, str] | None:
    """Return the address of a socket's peer, and what identifies the connection; None if none."""
    try:
        borrowed = socket.socket(fileno=fd)
    except OSError:
        return None
    try:
        peer, own = borrowed.getpeername(), borrowed.getsockname()
    except OSError:
        return None
    finally:
        borrowed.detach()
    return (peer[0], str(peer), str(own)) if isinstance(peer, tuple) else None


class Registration:
    """One registration of a descriptor; stands for the handle that the event loop returns."""

    def __init__(self, is_present: Callable[[Any], bool]) -> None:
        self._is_present = is_present

    def cancelled(self) -> bool:
        """Whether the descriptor was removed or registered again since."""
        return not self._is_present(self)


class EventGate:
    """Holds back the events of an event loop on sockets whose peer is cut off."""

    def __init__(self, cuts: Cuts) -> None:
        self._cuts = cuts
        self._registrations: dict[tuple[int, str], Registration] = {}
        """The present registration of each descriptor, by descriptor and kind of event."""

    def install(self) -> None:
        """Replace the registration of descriptors in every event loop of this process."""
        loop_class = asyncio.selector_events.BaseSelectorEventLoop
        for kind in ("reader", "writer"):
            add, remove = f"_add_{kind}", f"_remove_{kind}"
            original_add, original_remove = getattr(loop_class, add), getattr(loop_class, remove)
            setattr(loop_class, add, self._gated_add(kind, original_add, original_remove))
            setattr(loop_class, remove, self._gated_remove(kind, original_remove))

    def _gated_add(self, kind: str, add: Callable[..., Any], remove: Callable[..., Any]) -> Any:
        def gated(loop: Any, fd: int, callback: Callable[..., Any], *arguments: Any) -> Any:
            registration = Registration(lambda each: self._registrations.get((fd, kind)) is each)
            self._registrations[fd, kind] = registration

            def on_event() -> None:
                if registration.cancelled():
                    return
                connection = endpoints(fd)
                if connection is None or not self._cuts.separates(connection[0]):
                    callback(*arguments)
                    return
                remove(loop, fd)
                loop.call_later(RETRY_INTERVAL_S, on_retry, connection)

            def on_retry(connection: tuple[str, str, str]) -> None:
                if registration.cancelled():
                    return
                if endpoints(fd) != connection:
                    # The socket was closed while its events were held back.
                    del self._registrations[fd, kind]
                elif self._cuts.separates(connection[0]):
                    loop.call_later(RETRY_INTERVAL_S, on_retry, connection)
                else:
                    add(loop, fd, on_event)

            add(loop, fd, on_event)
            return registration

        return gated

    def _gated_remove(self, kind: str, remove: Callable[..., Any]) -> Any:
        def gated(loop: Any, fd: int) -> Any:
            was_registered = self._registrations.pop((fd, kind), None) is not None
            return remove(loop, fd) or was_registered

        return gated


def connect_from(address: str, cuts: Cuts) -> None:
    """Let every connection start at `address`, and come up only while no cut separates it."""
    make_handle = pycurl.Curl
    loop_class = asyncio.selector_events.BaseSelectorEventLoop
    connect = loop_class.sock_connect

    def make_bound_handle() -> Any:
        handle = make_handle()
        handle.setopt(pycurl.INTERFACE, address)
        return handle

    async def connect_bound(loop: Any, client: socket.socket, peer: tuple[str, int]) -> None:
        while cuts.separates(peer[0]):
            await asyncio.sleep(RETRY_INTERVAL_S)
        if client.getsockname()[1] == UNBOUND_PORT:
            client.bind((address, UNBOUND_PORT))
        await connect(loop, client, peer)

    pycurl.Curl = make_bound_handle
    loop_class.sock_connect = connect_bound


def main() -> None:
    """Run the start script with the gates installed."""
    address = os.environ["SOAK_ADDRESS"]
    cuts = Cuts(Path(os.environ["SOAK_CUTS"]), address)
    EventGate(cuts).install()
    connect_from(address, cuts)
    sys.argv[0] = str(START_SCRIPT)
    runpy.run_path(str(START_SCRIPT), run_name="__main__")


if __name__ == "__main__":
    main()
