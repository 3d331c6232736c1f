from testtools import TestCase

from zincvale.standins.load.event_stream import EventStreamReader, StreamEvent

STREAM_BYTES = (
    b'id: 1\ndata: {"text":"a "}\n\nid: 2\r\ndata: {"text":"b "}\r\n\r\n'
    b': comment\n\nevent: end\ndata: {"count":2}\n\nid: 3\ndata: {"te'
)


class EventStreamTest(TestCase):
    def test_the_events_are_the_same_wherever_the_bytes_are_split(self):
        all_events = EventStreamReader().feed(STREAM_BYTES)
        self.assertEqual(StreamEvent("message", "2", '{"text":"b "}'), all_events[1])
        self.assertEqual(["message", "message", "end"], [event.event for event in all_events])
        for cut in range(1, len(STREAM_BYTES)):
            reader = EventStreamReader()
            self.assertEqual(
                all_events, reader.feed(STREAM_BYTES[:cut]) + reader.feed(STREAM_BYTES[cut:])
            )
