from testtools import TestCase

from zincvale.standins.load.event_stream import EventStreamReader, StreamEvent

WIRE = (
    b'id: 1\ndata: {"text":"a "}\n\nid: 2\r\ndata: {"text":"b "}\r\n\r\n'
    b': comment\n\nevent: end\ndata: {"count":2}\n\nid: 3\ndata: {"te'
)


class EventStreamTest(TestCase):
    def test_any_split_of_the_wire_gives_the_same_events(self):
        all_events = EventStreamReader().feed(WIRE)
        self.assertEqual(StreamEvent("message", "2", '{"text":"b "}'), all_events[1])
        self.assertEqual(["message", "message", "end"], [event.event for event in all_events])
        for cut in range(1, len(WIRE)):
            reader = EventStreamReader()
            self.assertEqual(all_events, reader.feed(WIRE[:cut]) + reader.feed(WIRE[cut:]))
