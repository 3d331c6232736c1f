"""The committed reference pages match the pages generated from the code."""

from __future__ import annotations

from pathlib import Path

import testtools
from testtools.matchers import Equals

from zincvale.cli.reference_pages import events_page, schemas_page

DOCS = Path(__file__).resolve().parents[2] / "docs"
REMEDY = "run `python -m zincvale.cli.reference_pages` and read the difference"


class ReferencePagesTest(testtools.TestCase):
    def test_the_page_of_log_events_is_up_to_date(self) -> None:
        page = (DOCS / "EVENTS.md").read_text(encoding="utf-8")
        self.assertThat(page, Equals(events_page()), REMEDY)

    def test_the_schemas_of_the_peer_protocol_are_up_to_date(self) -> None:
        page = (DOCS / "schemas.json").read_text(encoding="utf-8")
        self.assertThat(page, Equals(schemas_page()), REMEDY)
