"""When a voter may vote: after a restart or view change, it first reads the claims of others.

A voter is complete in a view when it knows every earlier claim that had a majority and that its own
vote could contradict. The group of a request is the set of its voters. The design note proves the
rules; in short:

- After a restart in an unchanged view, the voter waits until votes of its former process are too
  old to count. It then reads from nodes that are complete in the view, until at most majority - 2
  nodes are missing of every group that it belongs to.
- In a new view, the voter reads from nodes that were complete in an older view, which stop voting
  in it when they are read. It needs a majority of every group of that view, and of every group of
  each known view between the two.
- If more nodes were lost at once than a group tolerates, the voter becomes complete after the
  quarantine, once it has read from every registered node with a live lease.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator

import attrs

from zincvale.dataplane.claims.messages import PullReply, ViewList
from zincvale.dataplane.claims.timings import ClaimTimings
from zincvale.dataplane.claims.view import ClaimView
from zincvale.model.identifiers import MemberId, ZoneName

MAX_RETAINED_VIEWS = 16


@attrs.define
class SourceRead:
    """How far one node was read as a source of claims for the current view.

    Attributes
    ----------
    cursor : where the next page starts.
    own_claims : whether the second table is being read, with the claims of requests that the source
        received as an ingress node.
    is_done : whether both tables were read to the end.
    completed_views : the views in which the source was complete when the first page was read.
    is_in_flight : whether a request for a page is in flight.
    retry_at : the earliest time of the next request after a failure.
    """

    cursor: int = 0
    own_claims: bool = False
    is_done: bool = False
    completed_views: frozenset[int] = frozenset()
    is_in_flight: bool = False
    retry_at: float = 0.0


class VoterReadiness:
    """Tracks the known views, and from which nodes this voter has read to vote in the newest one.

    Parameters
    ----------
    started_at : when the process started, on a clock that also runs while the machine is suspended.
    """

    def __init__(self, member_id: MemberId, timings: ClaimTimings, started_at: float) -> None:
        self._member_id = member_id
        self._timings = timings
        self._started_at = started_at
        self._views: dict[int, ClaimView] = {}
        self._live_members: frozenset[MemberId] = frozenset()
        """Members with live leases; empty while unknown, since this node has a lease as well."""
        self._sources: dict[MemberId, SourceRead] = {}
        self._pending_since = started_at
        self.newest_seen_view = 0
        """The newest version seen in any message; this voter gives no vote in an older view."""
        self.completed_views: set[int] = set()
        """The views in which this process has become complete."""
        self.used_quarantine = False

    @property
    def view(self) -> ClaimView | None:
        """The newest view whose nodes are known."""
        if not self._views:
            return None
        return self._views[max(self._views)]

    @property
    def view_version(self) -> int:
        """The version of `view`, or 0 if there is none."""
        return max(self._views, default=0)

    @property
    def complete_view(self) -> int:
        """The version of the newest view in which this voter is complete; 0 for none."""
        return max(self.completed_views, default=0)

    @property
    def may_vote(self) -> bool:
        """Whether this voter is complete in the newest view and has seen no newer version."""
        version = self.view_version
        return 0 < version == self.complete_view and version == self.newest_seen_view

    def view_lists(self, newer_than: int = 0) -> list[ViewList]:
        """Return the known views from version `newer_than` on, the oldest first."""
        return [
            ViewList(version, {str(node): str(zone) for node, zone in view.nodes.items()})
            for version, view in sorted(self._views.items())
            if version >= newer_than
        ]

    def update_views(self, view_lists: Iterable[ViewList], now: float) -> bool:
        """Add views; return whether the newest one changed."""
        before = self.view_version
        for item in view_lists:
            if item.version in self._views or item.version <= 0:
                continue
            nodes = {MemberId(node): ZoneName(zone) for node, zone in item.nodes.items()}
            self._views[item.version] = ClaimView(item.version, nodes)
        for version in sorted(self._views)[:-MAX_RETAINED_VIEWS]:
            del self._views[version]
        if self.view_version == before:
            return False
        self.newest_seen_view = max(self.newest_seen_view, self.view_version)
        self._sources = {}
        if self.completed_views:
            self._pending_since = now
        return True

    def observe_version(self, version: int) -> None:
        """Stop voting in views older than `version`."""
        self.newest_seen_view = max(self.newest_seen_view, version)

    def update_live_members(self, live: frozenset[MemberId]) -> None:
        """Replace the set of members with live leases."""
        self._live_members = live

    def restart_reading(self, now: float) -> None:
        """Read again after the process was frozen: the set of live leases may be outdated."""
        if self.may_vote:
            return
        self._sources = {}
        self._live_members = frozenset()
        self._pending_since = now

    def due_pulls(self, now: float) -> Iterator[tuple[MemberId, SourceRead]]:
        """Yield the sources from which a page is to be read now."""
        view = self.view
        if self.may_vote or view is None or self._member_id not in view.nodes:
            return
        if now < self._reading_starts_at():
            return
        for node in self._sources_to_read():
            source = self._sources.setdefault(node, SourceRead())
            if not source.is_done and not source.is_in_flight and source.retry_at <= now:
                yield node, source

    def on_page(self, node: MemberId, version: int, reply: PullReply, now: float) -> bool:
        """Record one page from `node`; return whether its claims are to be merged."""
        source = self._sources.get(node)
        if source is None or version != self.view_version:
            return False
        source.is_in_flight = False
        if not reply.is_usable:
            source.retry_at = now + self._timings.pull_behind_retry_s
            return False
        if source.cursor == 0 and not source.own_claims:
            source.completed_views = frozenset(reply.completed_views)
        source.cursor = reply.cursor
        if reply.is_done and source.own_claims:
            source.is_done = True
        elif reply.is_done:
            source.own_claims = True
            source.cursor = 0
        return True

    def on_page_failure(self, node: MemberId, version: int, now: float) -> None:
        """Schedule a retry to `node`, which did not respond."""
        source = self._sources.get(node)
        if source is None or version != self.view_version:
            return
        source.is_in_flight = False
        source.retry_at = now + self._timings.pull_retry_s

    def try_to_complete(self, now: float) -> bool:
        """Become complete if enough nodes were read; return whether this call made it complete."""
        view = self.view
        if self.may_vote or view is None or self.newest_seen_view != view.version:
            return False
        if self._member_id not in view.nodes:
            return False
        if self._read_this_view(view) or self._read_older_views(view):
            self.used_quarantine = False
        elif self._quarantine_passed(view, now):
            self.used_quarantine = True
        else:
            return False
        self.completed_views.add(view.version)
        return True

    def _reading_starts_at(self) -> float:
        if self.completed_views:
            return self._pending_since
        return self._started_at + self._timings.settle_s

    def _sources_to_read(self) -> list[MemberId]:
        nodes: set[MemberId] = set()
        for version, view in self._views.items():
            if version >= self.complete_view:
                nodes.update(view.nodes)
        nodes.discard(self._member_id)
        return sorted(nodes)

    def _completed_by_node(self) -> dict[MemberId, frozenset[int]]:
        """Return the views in which this node, and each node read to the end, was complete."""
        completed_views = {
            node: source.completed_views for node, source in self._sources.items() if source.is_done
        }
        completed_views[self._member_id] = frozenset(self.completed_views)
        return completed_views

    def _read_this_view(self, view: ClaimView) -> bool:
        """Whether enough nodes that are complete in `view` itself were read.

        A process that was complete in an older view has not voted in this one; it needs one node of
        each group, which knows the older claims. A restarted process needs more nodes, because it
        may have voted in this view before the restart.
        """
        complete = {
            node
            for node, completed_views in self._completed_by_node().items()
            if view.version in completed_views
        }
        missing = set(view.nodes) - complete - {self._member_id}
        most_missing = view.most_in_one_group(missing, containing=self._member_id)
        if self.completed_views:
            return most_missing <= view.voter_count - 2
        return most_missing <= view.majority - 2

    def _read_older_views(self, view: ClaimView) -> bool:
        """Whether a majority of every group was read, in an older view and all known ones after it.

        No node voted in an intermediate view that is unknown here: to become complete in it, a node
        must have read a majority of the older view. At least one node of that majority was read
        here as well, and would have returned the nodes of the intermediate view.
        """
        completed_by_node = self._completed_by_node()
        older = sorted((known for known in self._views if known < view.version), reverse=True)
        for position, version in enumerate(older):
            complete = {
                node
                for node, completed_views in completed_by_node.items()
                if version in completed_views
            }
            newer = older[:position]
            if self._covers(version, complete) and all(
                self._covers(newer_version, _remembering_nodes(completed_by_node, newer_version))
                for newer_version in newer
            ):
                return True
        return False

    def _covers(self, version: int, nodes: set[MemberId]) -> bool:
        """Whether `nodes` include a majority of each group of the view `version`."""
        view = self._views[version]
        missing = set(view.nodes) - nodes
        return view.most_in_one_group(missing) <= view.voter_count - view.majority

    def _quarantine_passed(self, view: ClaimView, now: float) -> bool:
        if now < self._pending_since + self._timings.quarantine_s:
            return False
        if self._member_id not in self._live_members:
            return False
        expected = (self._live_members & set(view.nodes)) - {self._member_id}
        return expected <= self._completed_by_node().keys()


def _remembering_nodes(
    completed_by_node: dict[MemberId, frozenset[int]], version: int
) -> set[MemberId]:
    """Return the nodes whose process still knows every vote that it gave in the view `version`.

    Such a process became complete in this view or an older one, and has not restarted since.
    """
    return {
        node
        for node, completed_views in completed_by_node.items()
        if completed_views and min(completed_views) <= version
    }
