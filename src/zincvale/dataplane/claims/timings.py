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
    dispatch_window_s : a grant counts for a dispatch this long after it was asked for.
    settle_s : a restarted holder reads from the others only this long after its start, when every
        grant of its former self is too old to count.
    quarantine_s : a holder whose sources are gone votes again after this time.
    ttl_s : a claim is forgotten this long after it last changed or was announced.
    own_ttl_s : how long an entry node remembers its own attempts; longer than `ttl_s`.
    call_timeout_s : of one call to a peer.
    round_s : a round of calls is judged after this time at the latest.
    retry_s, retry_max_s : first and longest pause between two rounds; it doubles each time, and
        jitter adds up to as much again.
    patience_s : a claim that has no majority after this time is given up.
    poll_s, poll_max_s : first and longest pause between two looks at another's attempt.
    suspect_s : an owner that does not answer for so long may be barred.
    give_up_s : a resend stops waiting for an owner that does not answer for so long.
    announce_s : interval at which an entry node announces its running claims to their holders.
    max_run_s : a granted claim without an outcome is announced no longer after this time.
    delivery_s : how long a record or release is sent again to holders that did not confirm it.
    pull_retry_s : pause before a source that did not answer is asked again.
    pull_behind_s : the same, for a source that did not know the view yet.
    max_rows : claims held for others, and again own ones; new ones beyond are refused, none is
        dropped. With answers of 200 bytes a row takes about 1 KiB.
    max_body_bytes : recorded answers larger than this are kept without body.
    max_total_body_bytes : bodies beyond this sum are not kept.
    """

    dispatch_window_s: float = 2.0
    settle_s: float = 2.5
    quarantine_s: float = 8.0
    ttl_s: float = 300.0
    own_ttl_s: float = 360.0
    call_timeout_s: float = 0.5
    round_s: float = 0.3
    retry_s: float = 0.01
    retry_max_s: float = 0.16
    patience_s: float = 1.5
    poll_s: float = 0.02
    poll_max_s: float = 0.25
    suspect_s: float = 0.5
    give_up_s: float = 3.0
    announce_s: float = 30.0
    max_run_s: float = 3600.0
    delivery_s: float = 3.0
    pull_retry_s: float = 0.2
    pull_behind_s: float = 0.05
    max_rows: int = 50_000
    max_body_bytes: int = 64 * 1024
    max_total_body_bytes: int = 64 * 1024 * 1024
