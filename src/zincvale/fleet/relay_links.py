"""The settings and control messages of a relay: its links and their states."""

from __future__ import annotations

import enum
from dataclasses import dataclass, field

from zincvale.model.checked import Checked


class Passing(enum.Enum):
    """What happens to bytes in one direction of a link."""

    PASS = "pass"
    HOLD = "hold"
    """Bytes are held back, as in a network that drops packets, and delivered when it heals."""


class Connecting(enum.Enum):
    """What happens to new connections on a link."""

    ACCEPT = "accept"
    IGNORE = "ignore"
    """Connection attempts get no response, as when packets are lost."""
    REFUSE = "refuse"
    """Connection attempts are reset, and so are the open connections."""


@dataclass
class Link(Checked):
    """A link from a daemon to an address, through a listener of the relay.

    `source_host` is the IP address that the relay dials from, so that the far side sees the address
    of the machine that dialled.
    """

    name: str
    listen: str
    dial: str
    source_host: str = ""


@dataclass
class LinkState(Checked):
    """The current state of a link.

    `request` is the direction away from the daemon that dials, `reply` the one back to it.
    """

    connecting: Connecting = Connecting.ACCEPT
    request: Passing = Passing.PASS
    reply: Passing = Passing.PASS
    delay_s: float = 0.0
    jitter_s: float = 0.0
    bytes_per_second: float = 0.0
    """Rate limit of the link; 0 means no limit."""

    @property
    def is_plain(self) -> bool:
        """Whether the link behaves as it would without a relay."""
        return self == LinkState()


@dataclass
class RelaySettings(Checked):
    """The settings file of one relay process."""

    control_address: str
    seed: int = 0
    links: list[Link] = field(default_factory=list)


@dataclass
class LinkChange(Checked):
    """A control request that sets the state of the named links."""

    links: list[str]
    state: LinkState


CUT = LinkState(connecting=Connecting.IGNORE, request=Passing.HOLD, reply=Passing.HOLD)
RESET = LinkState(connecting=Connecting.REFUSE)
REPLIES_LOST = LinkState(reply=Passing.HOLD)
HEALED = LinkState()
