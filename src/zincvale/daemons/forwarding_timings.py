"""Durations of the coordination machines in a forwarding deployment.

The control state must tolerate the loss of another core soon after one was replaced. So learners
replace unresponsive replicas quickly, and leader leases are short: the previous replicas are
removed only when every lease that they granted has expired.
"""

from __future__ import annotations

from zincvale.coordination.config import Timings

ROLE_LEASE_S = 1.6
ROLE_MARGIN_S = 0.3
ROLE_RENEW_S = 0.4
REPLACE_DELAY_S = 1.2
BOOTSTRAP_LISTEN_S = 0.5
CANDIDATE_STAGGER_S = 0.3
RENEWAL_COLLECT_S = 0.1
"""Time over which lease renewals are collected into one batch. Each batch costs a message to every
other granting core; a lease lasts 18 times as long."""
EPHEMERAL_RESPONSES_PER_S = 60.0
"""Limit on responses with ephemeral topics: about 4% of a CPU core, at 0.6 ms for each response."""


def forwarding_timings() -> Timings:
    """Return the durations of the coordination machines."""
    return Timings(
        role_lease_s=ROLE_LEASE_S,
        role_margin_s=ROLE_MARGIN_S,
        role_renew_s=ROLE_RENEW_S,
        replace_delay_s=REPLACE_DELAY_S,
        bootstrap_listen_s=BOOTSTRAP_LISTEN_S,
        candidate_stagger_s=CANDIDATE_STAGGER_S,
        renewal_collect_s=RENEWAL_COLLECT_S,
        ephemeral_responses_per_s=EPHEMERAL_RESPONSES_PER_S,
    )
