"""Opens and closes the attempts of this ingress node, in a table of their own."""

from __future__ import annotations

from collections.abc import Callable

from zincvale.dataplane.claims.records import Attempt, ClaimState, OpenClaim
from zincvale.dataplane.claims.table import ClaimTable
from zincvale.model.identifiers import MemberId, RequestId


class OwnAttempts:
    """Numbers the attempts of this process and stores which of them are open or closed.

    Parameters
    ----------
    table : the node's table of its own attempts.
    next_number : returns a number that is unique in this process.
    """

    def __init__(
        self,
        member_id: MemberId,
        incarnation: str,
        table: ClaimTable,
        next_number: Callable[[], int],
    ) -> None:
        self._member_id = member_id
        self._incarnation = incarnation
        self._next_number = next_number
        self.table = table

    def open(self, request_id: RequestId, digest: str, now: float) -> Attempt:
        """Open and return a new attempt at a request."""
        attempt = Attempt(self._member_id, self._incarnation, self._next_number())
        self.table.merge(request_id, ClaimState(open=[OpenClaim(attempt, digest)]), now)
        return attempt

    def close(self, request_id: RequestId, attempt: Attempt, now: float) -> None:
        """Close an attempt permanently; it is never dispatched after this."""
        self.table.merge(request_id, ClaimState(closed=[attempt]), now)
