"""Headers of forwarded requests and responses."""

from __future__ import annotations

import testtools

from zincvale.dataplane.forwarding.header_rewrite import to_caller, to_server


class HeaderRewriteTest(testtools.TestCase):
    def test_hop_by_hop_headers_are_removed(self):
        headers = [
            ("Connection", "close, X-Hop"),
            ("X-Hop", "1"),
            ("Transfer-Encoding", "chunked"),
            ("Content-Length", "3"),
            ("X-Deadline-Ms", "900"),
            ("X-Other", "kept"),
        ]
        self.assertEqual(
            [("X-Other", "kept"), ("x-deadline-ms", "800")],
            to_server(headers, {"x-deadline-ms": "800"}),
        )
        self.assertIn(("Content-Length", "3"), to_caller(headers, is_stream=False))
        self.assertNotIn(("Content-Length", "3"), to_caller(headers, is_stream=True))
