"""Times and bounds of the claim protocol, in seconds unless the name says otherwise.

The proofs in the design note need: `dispatch_window_s` < `settle_s` < `quarantine_s` < `ttl_s`.
"""

from __future__ import annotations

import attrs


@attrs.frozen
class ClaimTimings:
    """Defaults fit eleven machines in one region.

    Attributes
    ----------
    dispatch_window_s : a grant counts for a dispatch this long after its vote was requested.
    settle_s : a restarted voter reads from the others only this long after its start, when every
        grant of its former self is too old to count.
    quarantine_s : a voter whose sources are gone votes again after this time.
    ttl_s : a claim is forgotten this long after it last changed or was announced.
    own_claim_ttl_s : how long an ingress node remembers its own attempts; longer than `ttl_s`.
    call_timeout_s : of one call to a peer.
    round_timeout_s : a round of calls is evaluated after this time at the latest.
    retry_backoff_s, max_retry_backoff_s : first and longest pause between two rounds; it doubles
        each time, and jitter adds up to as much again.
    max_claiming_s : a claim that has no majority after this time is given up.
    poll_interval_s, max_poll_interval_s : first and longest pause between two queries
        for a competing attempt.
    suspect_after_s : an owner that has not responded for so long may be blocked.
    owner_timeout_s : a resend stops waiting for an owner that has not responded for so long.
    announce_interval_s : interval at which an ingress node announces its running claims
        to their voters.
    max_run_s : a granted claim without an outcome is announced no longer after this time.
    delivery_timeout_s : how long a record or release is resent to voters that did not
        confirm it.
    pull_retry_s : pause before a page is requested again from a source that did not respond.
    pull_behind_retry_s : the same, for a source that did not know the view yet.
    max_rows : claims voted on for others, and as many own ones; new ones beyond are refused, none
        is dropped. With responses of 200 bytes a row takes about 1 KiB.
    max_body_bytes : recorded responses larger than this are stored without body.
    max_total_body_bytes : bodies beyond this sum are not stored.
    """

    dispatch_window_s: float = 2.0
    settle_s: float = 2.5
    quarantine_s: float = 8.0
    ttl_s: float = 300.0
    own_claim_ttl_s: float = 360.0
    call_timeout_s: float = 0.5
    round_timeout_s: float = 0.3
    retry_backoff_s: float = 0.01
    max_retry_backoff_s: float = 0.16
    max_claiming_s: float = 1.5
    poll_interval_s: float = 0.02
    max_poll_interval_s: float = 0.25
    suspect_after_s: float = 0.5
    owner_timeout_s: float = 3.0
    announce_interval_s: float = 30.0
    max_run_s: float = 3600.0
    delivery_timeout_s: float = 3.0
    pull_retry_s: float = 0.2
    pull_behind_retry_s: float = 0.05
    max_rows: int = 50_000
    max_body_bytes: int = 64 * 1024
    max_total_body_bytes: int = 64 * 1024 * 1024
