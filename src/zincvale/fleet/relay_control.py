"""Sends link states to the relay processes."""

from __future__ import annotations

from collections.abc import Mapping

import attrs

from zincvale.fleet.clients import RigClient
from zincvale.fleet.link_plan import LINKS_PER_PROCESS, PlannedLink
from zincvale.fleet.relay_links import LinkState
from zincvale.model.errors import UnavailableError

RELAY_TIMEOUT_S = 5.0


@attrs.define
class RelayControl:
    """The control addresses of the relay processes, and the assignment of links to them."""

    client: RigClient
    addresses: list[str]
    links: list[PlannedLink]

    async def update(self, changes: Mapping[str, LinkState]) -> None:
        """Send changed link states to their relays.

        Raises
        ------
        UnavailableError
            A relay did not accept its new states.
        """
        for index, address in enumerate(self.addresses):
            start = index * LINKS_PER_PROCESS
            own = {item.link.name for item in self.links[start : start + LINKS_PER_PROCESS]}
            for state, names in _by_state(changes, own):
                body = {"links": names, "state": state.to_dict()}
                response = await self.client.post(address, "/links", body, RELAY_TIMEOUT_S)
                if not response.ok:
                    raise UnavailableError(
                        f"relay {address} did not accept a link change: "
                        f"{response.body or response.problem}",
                        "see the relay's log in the run folder",
                    )


def _by_state(changes: Mapping[str, LinkState], own: set[str]) -> list[tuple[LinkState, list[str]]]:
    grouped: list[tuple[LinkState, list[str]]] = []
    for name, state in changes.items():
        if name not in own:
            continue
        for known, names in grouped:
            if known == state:
                names.append(name)
                break
        else:
            grouped.append((state, [name]))
    return grouped
