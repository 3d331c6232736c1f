"""When a voter may vote: after a restart or a new view it first reads what it must know.

A voter is complete in a view when it knows every claim that a majority granted before, as far as
its own vote matters. The design note proves the rules; in short:

- restarted, view unchanged: it waits until grants of its former self are too old to count, then
  reads from so many nodes complete in the view that of every group it belongs to at most
  majority - 2 are missing;
- new view: it reads from nodes that were complete in an older view and stop voting in it when
  read; of every group of that view, and of each view known between, a majority was read;
- sources gone (more lost at once than the group tolerates): after the quarantine, once every
  registered node with a live lease was read.
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
    """How far one source was read for the current view.

    Attributes
    ----------
    own_claims : whether the second table is being read, the claims of requests that the source
        itself received.
    completed_views : the views in which the source was complete when the first page was read.
    """

    cursor: int = 0
    own_claims: bool = False
    is_done: bool = False
    completed_views: frozenset[int] = frozenset()
    is_in_flight: bool = False
    retry_at: float = 0.0


class VoterReadiness:
    """Tracks views, and what was read to become complete in the newest one.

    Parameters
    ----------
    started_at : when the process started, on its suspend-aware clock.
    """

    def __init__(self, member_id: MemberId, timings: ClaimTimings, started_at: float) -> None:
        self._member_id = member_id
        self._timings = timings
        self._started_at = started_at
        self._views: dict[int, ClaimView] = {}
        self._live: frozenset[MemberId] = frozenset()
        """Members with live leases; empty means not known, since this node has one as well."""
        self._sources: dict[MemberId, SourceRead] = {}
        self._pending_since = started_at
        self.newest_seen_view = 0
        """The newest version seen; nothing is granted in older ones."""
        self.completed_views: set[int] = set()
        """The views in which this process was complete."""
        self.used_quarantine = False

    @property
    def view(self) -> ClaimView | None:
        """The newest view whose nodes are known."""
        if not self._views:
            return None
        return self._views[max(self._views)]

    @property
    def view_version(self) -> int:
        """The version of `view`; 0 without one."""
        return max(self._views, default=0)

    @property
    def complete_view(self) -> int:
        """The newest view in which this voter is complete; 0 for none."""
        return max(self.completed_views, default=0)

    @property
    def may_vote(self) -> bool:
        """Whether claims may be granted, in the newest view."""
        version = self.view_version
        return 0 < version == self.complete_view and version == self.newest_seen_view

    def view_lists(self, newer_than: int = 0) -> list[ViewList]:
        """Return the known versions, the oldest first."""
        return [
            ViewList(version, {str(node): str(zone) for node, zone in view.nodes.items()})
            for version, view in sorted(self._views.items())
            if version >= newer_than
        ]

    def update_views(self, view_lists: Iterable[ViewList], now: float) -> bool:
        """Add versions; returns whether the newest changed."""
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
        self._live = live

    def restart_reading(self, now: float) -> None:
        """Read everything again after a freeze: who has a lease may have changed meanwhile."""
        if self.may_vote:
            return
        self._sources = {}
        self._live = frozenset()
        self._pending_since = now

    def due_pulls(self, now: float) -> Iterator[tuple[MemberId, SourceRead]]:
        """Yield the sources to read a page from now."""
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
        """Account for one page from `node`; returns whether its claims are to be merged."""
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
        """Schedule another request to `node`, which did not respond."""
        source = self._sources.get(node)
        if source is None or version != self.view_version:
            return
        source.is_in_flight = False
        source.retry_at = now + self._timings.pull_retry_s

    def try_to_complete(self, now: float) -> bool:
        """Become complete if enough was read; returns whether that happened now."""
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
        """Return the views each node read, and this one, was complete in."""
        completed_views = {
            node: source.completed_views for node, source in self._sources.items() if source.is_done
        }
        completed_views[self._member_id] = frozenset(self.completed_views)
        return completed_views

    def _read_this_view(self, view: ClaimView) -> bool:
        """Whether enough nodes that vote in `view` were read.

        A process that was complete in an older view has not voted in this one, and needs of each
        group one node that knows the older claims; one that restarted needs more, since it may
        have voted here.
        """
        complete = {
            node
            for node, completed_views in self._completed_by_node().items()
            if view.version in completed_views
        }
        missing = set(view.nodes) - complete - {self._member_id}
        most_missing = view.most_in_one_group(missing, beside=self._member_id)
        if self.completed_views:
            return most_missing <= view.voter_count - 2
        return most_missing <= view.majority - 2

    def _read_older_views(self, view: ClaimView) -> bool:
        """Whether a majority of every group was read, in an older view and all known after it.

        A version between that is not known here was never voted in: to become complete in it, a
        node must have read a majority of the older view, one of which was read here as well and
        would have returned the version's nodes.
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
                self._covers(between, _remembering_nodes(completed_by_node, between))
                for between in newer
            ):
                return True
        return False

    def _covers(self, version: int, nodes: set[MemberId]) -> bool:
        """Whether of each group of a view a majority is among `nodes`."""
        view = self._views[version]
        missing = set(view.nodes) - nodes
        return view.most_in_one_group(missing) <= view.voter_count - view.majority

    def _quarantine_passed(self, view: ClaimView, now: float) -> bool:
        if now < self._pending_since + self._timings.quarantine_s:
            return False
        if self._member_id not in self._live:
            return False
        expected = (self._live & set(view.nodes)) - {self._member_id}
        return expected <= self._completed_by_node().keys()


def _remembering_nodes(
    completed_by_node: dict[MemberId, frozenset[int]], version: int
) -> set[MemberId]:
    """Return the nodes that remember each vote they gave in a view, if they gave any."""
    return {
        node
        for node, completed_views in completed_by_node.items()
        if completed_views and min(completed_views) <= version
    }
