"""How the end of an exchange changes what a node knows of its server."""

from __future__ import annotations

import testtools

from tests.dataplane.inference.builders import routing_state, server_row
from zincvale.dataplane.resilience.exchange_evidence import (
    ExchangeEnd,
    ExchangeReport,
    HealthChange,
    record_exchange_end,
)


class ExchangeEvidenceTest(testtools.TestCase):
    def test_a_timeout_is_a_failure_only_after_ample_time(self):
        routing = routing_state(server_row("s1"))
        state = routing.servers["s1"]
        for duration, counted in ((0.4, 0), (1.6, 1)):
            report = ExchangeReport(ExchangeEnd.TIMED_OUT, 0.0, duration, 8)
            self.assertIs(HealthChange.NONE, record_exchange_end(state, report))
            self.assertEqual(counted, state.failures.consecutive_failures)
