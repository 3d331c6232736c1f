"""Splitting of an event stream into complete events, whatever chunks it arrives in."""

from __future__ import annotations

import random

import testtools

from zincvale.dataplane.forwarding.event_splitter import (
    MAX_EVENT_BYTES,
    CompleteEvents,
    EventSplitter,
)


class EventSplitterTest(testtools.TestCase):
    def test_only_complete_events_are_returned_whatever_the_chunks(self):
        stream = b"".join(b"id: %d\ndata: x\n\n" % number for number in range(30))
        for seed in range(20):
            source = random.Random(seed)
            splitter = EventSplitter()
            returned, position = b"", 0
            while position < len(stream):
                size = source.randint(1, 25)
                complete = splitter.feed(stream[position : position + size])
                position += size
                if complete is not None:
                    returned += complete.content
                    self.assertTrue(complete.content.endswith(b"\n\n"))
            self.assertEqual(stream, returned + splitter.take_remainder())

    def test_the_id_of_the_last_event_is_returned(self):
        complete = EventSplitter().feed(b"id: 1\r\n\r\nid:2\ndata: id: 9\n\ndata")
        self.assertEqual(CompleteEvents(b"id: 1\r\n\r\nid:2\ndata: id: 9\n\n", "2"), complete)

    def test_an_event_ends_with_an_empty_line_whatever_the_line_ends(self):
        for first in (b"\n", b"\r\n", b"\r"):
            for second in (b"\n", b"\r\n", b"\r"):
                event = b"id: 7" + first + b"data: x" + first + second
                if (first, second) == (b"\r", b"\n"):
                    continue  # One line end of two bytes.
                for cut in range(len(event) + 1):
                    splitter = EventSplitter()
                    parts = [splitter.feed(event[:cut]), splitter.feed(event[cut:] + b"id")]
                    content = b"".join(part.content for part in parts if part is not None)
                    rest = splitter.take_remainder()
                    self.assertEqual(event + b"id", content + rest)
                    self.assertEqual(b"id", rest.strip(b"\r\n"), (event, cut))

    def test_an_event_is_open_until_its_empty_line_has_come(self):
        """ORDER: a stream that was cut off in an event ended as complete."""
        for event in (
            b"id: 1\ndata: x\n\n",
            b"id: 1\r\ndata: x\r\n\r\n",
            b": c\nid: 1\ndata: x\n\n",
        ):
            for cut in range(1, len(event) - 2):
                splitter = EventSplitter()
                splitter.feed(event + event[:cut])
                self.assertTrue(splitter.is_event_open, event[:cut])
            splitter = EventSplitter()
            self.assertFalse(splitter.is_event_open)
            splitter.feed(event + event)
            self.assertFalse(splitter.is_event_open)
            splitter.feed(b"\n\r\n")
            self.assertFalse(splitter.is_event_open)

    def test_an_event_that_is_relayed_in_parts_stays_open_between_them(self):
        """ORDER: after a part of a large event nothing was left, as after a complete one."""
        for line_end in (b"\n", b"\r\n"):
            splitter = EventSplitter()
            part = splitter.feed(b"id: 1\ndata: " + b"x" * MAX_EVENT_BYTES + line_end)
            self.assertIsNotNone(part)
            self.assertTrue(splitter.is_part_returned and splitter.is_event_open)
            end = splitter.feed(line_end)
            self.assertEqual(line_end, end.content)
            self.assertFalse(splitter.is_part_returned or splitter.is_event_open)
