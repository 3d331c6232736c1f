"""What a relay receives: its links, and the state that a fault gives a link."""

from __future__ import annotations

import enum
from dataclasses import dataclass, field

from zincvale.model.checked import Checked


class Passing(enum.Enum):
    """What happens to bytes in one direction of a link."""

    PASS = "pass"
    HOLD = "hold"
    """Bytes wait, as in a network that lost the way; they arrive when it heals."""


class Connecting(enum.Enum):
    """What happens to new connections on a link."""

    ACCEPT = "accept"
    IGNORE = "ignore"
    """The connection attempt gets no response, as when packets are lost."""
    REFUSE = "refuse"
    """The connection attempt is reset, and so are the open connections."""


@dataclass
class Link(Checked):
    """One way from a daemon to an address, through a listener that the relay owns.

    `source_host` is the IP number that the relay dials from, so that the far side sees the machine
    that the bytes came from.
    """

    name: str
    listen: str
    dial: str
    source_host: str = ""


@dataclass
class LinkState(Checked):
    """How a link behaves now.

    `request` is the direction away from the daemon that dials, `reply` the one back to it.
    """

    connecting: Connecting = Connecting.ACCEPT
    request: Passing = Passing.PASS
    reply: Passing = Passing.PASS
    delay_s: float = 0.0
    jitter_s: float = 0.0
    bytes_per_second: float = 0.0
    """0 means as fast as it goes."""

    @property
    def is_plain(self) -> bool:
        """Whether the link is as without a relay."""
        return self == LinkState()


@dataclass
class RelaySettings(Checked):
    """The settings file of one relay process."""

    control_address: str
    seed: int = 0
    links: list[Link] = field(default_factory=list)


@dataclass
class LinkChange(Checked):
    """A control request: give the named links this state."""

    links: list[str]
    state: LinkState


CUT = LinkState(connecting=Connecting.IGNORE, request=Passing.HOLD, reply=Passing.HOLD)
RESET = LinkState(connecting=Connecting.REFUSE)
REPLIES_LOST = LinkState(reply=Passing.HOLD)
HEALED = LinkState()
