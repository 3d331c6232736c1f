"""Faults of the soak test of orders: frozen, isolated and killed cores, cut links, lost servers."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from tests.daemons.order_core import LIST_LAG_S, Core

if TYPE_CHECKING:
    from tests.daemons.order_soak import OrderSoak

ZONES = ("zone-a", "zone-b", "zone-c")
FREEZE_AT_SEND_SHARE = 0.05
"""Share of orders on new connections at which the leader freezes before it sends them."""
SAME_INSTANCE_SHARE = 0.5
"""Share of restarts after a crash in which the server keeps its instance name."""
KILL_ALL_SHARE = 0.02
"""Share of the rounds of faults in which all cores are killed at once, if models are retired."""


class OrderFaults:
    """Draws faults for one soak."""

    def __init__(self, soak: OrderSoak) -> None:
        self._soak = soak

    def inject(self) -> None:
        """Inject faults at random, unless the run has calmed down."""
        if self._soak.is_calm:
            return
        if self._soak.retires_models and self._soak.random.random() < KILL_ALL_SHARE:
            for number in range(len(self._soak.cores)):
                self._restart_core(number)
        faults = (
            (0.06, self._freeze_leader),
            (0.03, self._isolate_leader),
            (0.02, self._kill_core),
            (0.05, self._cut_links),
            (0.02, self._crash_server),
            (0.02, self._replace_server),
            (0.02, self._evacuate),
            (0.04, self._set_response_loss),
        )
        for probability, inject in faults:
            if self._soak.random.random() < probability:
                inject()

    def freeze_at_send(self, core: Core) -> None:
        """Freeze the core at random; the order that it is about to send leaves when it thaws."""
        if self._soak.random.random() < FREEZE_AT_SEND_SHARE and core.is_running:
            self._freeze(core)

    def _freeze_leader(self) -> None:
        core = self._soak.lease.holder or self._soak.cores[0]
        if core.is_running:
            self._freeze(core)

    def _freeze(self, core: Core) -> None:
        core.frozen_until = self._soak.clock() + self._soak.random.uniform(0.5, 9.0)
        if core is self._soak.lease.holder:
            # When the process is thawed, it detects the clock jump and drops its lease.
            core.dropped_epoch = self._soak.lease.epoch

    def _isolate_leader(self) -> None:
        if self._soak.lease.holder is not None:
            until = self._soak.clock() + self._soak.random.uniform(2.0, 8.0)
            self._soak.isolated_until[self._soak.lease.holder.name] = until

    def _kill_core(self) -> None:
        self._restart_core(self._soak.random.randrange(len(self._soak.cores)))

    def _restart_core(self, number: int) -> None:
        self._soak.cores[number].is_killed = True
        core = self._soak.new_core(self._soak.cores[number].name)
        core.frozen_until = self._soak.clock() + self._soak.random.uniform(0.3, 2.0)
        core.receives_documents_from = core.frozen_until + self._soak.random.uniform(0.0, 3.0)
        self._soak.cores[number] = core

    def _cut_links(self) -> None:
        until = self._soak.clock() + self._soak.random.uniform(0.1, 4.0)
        share = self._soak.random.choice((0.2, 0.5, 1.0))
        core = self._soak.random.choice(self._soak.cores)
        for address in self._soak.server_by_address:
            if self._soak.random.random() < share:
                self._soak.cut_links[core.name, address] = until

    def _crash_server(self) -> None:
        server = self._soak.server_by_address[
            self._soak.random.choice(sorted(self._soak.server_by_address))
        ]
        down_s = self._soak.random.uniform(0.5, 4.0)
        keeps_instance = (
            self._soak.freezes_at_send and self._soak.random.random() < SAME_INSTANCE_SHARE
        )
        server.crash(down_s, keeps_instance=keeps_instance)
        self._soak.loop.call_later(2.0, self._soak.listed.pop, server.address, None)
        self._soak.loop.call_later(max(2.0, down_s) + LIST_LAG_S, self._soak.add_to_list, server)

    def _replace_server(self) -> None:
        server = self._soak.server_by_address[
            self._soak.random.choice(sorted(self._soak.server_by_address))
        ]
        if server.address in self._soak.draining:
            return
        self._soak.draining.add(server.address)
        self._soak.loop.call_later(LIST_LAG_S, self._soak.add_to_list, self._soak.add_server([]))
        self._soak.loop.call_later(
            self._soak.random.uniform(3.0, 8.0), self._remove_server, server.address
        )

    def _remove_server(self, address: str) -> None:
        self._soak.listed.pop(address, None)
        self._soak.draining.discard(address)
        del self._soak.server_by_address[address]

    def _evacuate(self) -> None:
        evacuated = (
            frozenset()
            if self._soak.document.evacuated
            else frozenset((self._soak.random.choice(ZONES),))
        )
        self._soak.document = attrs.evolve(
            self._soak.document, version=self._soak.document.version + 1, evacuated=evacuated
        )

    def _set_response_loss(self) -> None:
        self._soak.loss_share = self._soak.random.choice((0.0, 0.05, 0.2))
        self._soak.reset_share = self._soak.random.choice((0.0, 0.02, 0.1))
