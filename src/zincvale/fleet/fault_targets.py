"""Selectors of fault targets, and the inventory that they select from.

A selector is an id (`core-a`), `role=core`, `role=node`, `zone=zone-a`, `pool=conversation`,
`kind=lookup`, `all`, or `@NAME` for an earlier choice; several are joined by a plus sign, and
`-SELECTOR` removes what it matches.
"""

from __future__ import annotations

import random

import attrs

from zincvale.model.errors import InvalidInputError
from zincvale.standins.deployment import Deployment

PLATFORM = "platform"
ZONE_KIND = "zone"


@attrs.frozen
class FaultTarget:
    """A process that a fault can have as its target; selectors match its `attributes`."""

    name: str
    attributes: dict[str, str]

    @property
    def is_daemon(self) -> bool:
        """Whether this is a core or a node."""
        return "role" in self.attributes


@attrs.define
class Inventory:
    """The possible fault targets in one deployment, in the order of the deployment file."""

    items: dict[str, FaultTarget]
    zones: list[str]

    def names(self, attribute: str, value: str) -> list[str]:
        """Return the names of the items whose attribute has this value."""
        return [
            item.name for item in self.items.values() if item.attributes.get(attribute) == value
        ]


def inventory_of(deployment: Deployment) -> Inventory:
    """Return the possible fault targets in a deployment."""
    items: dict[str, FaultTarget] = {}
    for machine in deployment.machines:
        attributes = {"role": machine.role.value, "zone": machine.zone}
        items[machine.name] = FaultTarget(machine.name, attributes)
    for server in deployment.servers:
        attributes = {"kind": server.kind.value, "zone": server.zone, "pool": server.pool}
        items[server.name] = FaultTarget(server.name, attributes)
    for store in deployment.stores:
        items[store.name] = FaultTarget(store.name, {"kind": "store", "zone": store.zone})
    items[PLATFORM] = FaultTarget(PLATFORM, {"kind": PLATFORM})
    return Inventory(items, list(deployment.zones))


@attrs.define
class Selection:
    """Resolves selectors; random choices come from `random_source` in the order of the faults."""

    inventory: Inventory
    random_source: random.Random
    _named: dict[str, list[str]] = attrs.field(factory=dict)

    def choose(self, selector: str, pick: int = 0, named: str = "") -> list[str]:
        """Return the selected names, `pick` of them at random when it is not 0.

        Raises
        ------
        InvalidInputError
            Nothing matches the selector.
        """
        names = self.select(selector)
        if pick and pick < len(names):
            drawn = self.random_source.sample(sorted(names), pick)
            names = [name for name in names if name in drawn]
        if named:
            self._named[named] = names
        return names

    def select(self, selector: str) -> list[str]:
        """Return the names that a selector matches, without duplicates."""
        chosen: dict[str, None] = {}
        for part in selector.split("+"):
            term = part.strip()
            if term.startswith("-"):
                for name in self._resolve_term(term[1:]):
                    chosen.pop(name, None)
            else:
                chosen.update(dict.fromkeys(self._resolve_term(term)))
        if not chosen:
            raise InvalidInputError(f"selector {selector!r} matches nothing", self._remedy())
        return list(chosen)

    def _resolve_term(self, term: str) -> list[str]:
        if term == "all":
            return list(self.inventory.items)
        if term.startswith("@"):
            if term[1:] not in self._named:
                raise InvalidInputError(
                    f"{term!r} was not chosen before", "give an earlier fault `named: ...`"
                )
            return self._named[term[1:]]
        if term in self.inventory.items or term in self.inventory.zones:
            return [term]
        attribute, separator, value = term.partition("=")
        found = self.inventory.names(attribute, value) if separator else []
        if not found:
            raise InvalidInputError(f"selector {term!r} matches nothing", self._remedy())
        return found

    def _remedy(self) -> str:
        return (
            f"use an id ({', '.join(list(self.inventory.items)[:4])}, ...), role=core, role=node, "
            "zone=..., pool=..., kind=..., all or @NAME"
        )
