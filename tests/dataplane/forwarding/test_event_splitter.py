"""Splitting of an event stream into complete events, whatever chunks it arrives in."""

from __future__ import annotations

import random

import testtools

from zincvale.dataplane.forwarding.event_splitter import CompleteEvents, EventSplitter


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
