"""Durations of the coordination machines in a forwarding deployment.

A replaced core must bear the next loss soon after it came, so learners replace unresponsive
replicas quickly and leader leases are short: the replicas from before a change are removed only
when every lease they granted has expired.
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
"""Each collection costs a message to every other granting core; a lease lasts 18 times as long."""
EPHEMERAL_RESPONSES_PER_S = 60.0
"""About 4% of a core, at 0.6 ms a response."""


def forwarding_timings() -> Timings:
    """Return the durations."""
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
