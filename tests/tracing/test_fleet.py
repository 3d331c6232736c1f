"""Tests of tracing services that exchange messages over a virtual clock and network."""

import random

from testtools import TestCase
from testtools.matchers import Equals, GreaterThan, HasLength, LessThan

from zincvale.bench.tracing_fleet import RequestMix, TracingFleet, trace_request
from zincvale.model.identifiers import MemberId
from zincvale.model.messages import message_classes
from zincvale.tracing.config import TracingConfig
from zincvale.transport.codec import decode_message, encode_message

NODES = 5
SECONDS = 20.0
PER_SECOND = 40
SETTLE_S = 120.0
ERRORS = RequestMix(error_share=0.3)


class Load:
    """A load of requests on the nodes of a fleet, and the traces of those that failed."""

    def __init__(self, seed, loss=0.0, nodes=NODES, **config):
        self.fleet = TracingFleet(seed, TracingConfig(**config), loss)
        self.fleet.start(nodes)
        self.begin = self.fleet.now
        self.failed = []
        draw = random.Random(seed)

        def request():
            trace_id, is_error = trace_request(self.fleet, self.fleet.pick_service(), ERRORS, draw)
            if is_error:
                self.failed.append(trace_id)

        for number in range(int(SECONDS * PER_SECOND)):
            self.fleet.run_at(self.begin + number / PER_SECOND, request)

    def at(self, offset_s, action):
        self.fleet.run_at(self.begin + offset_s, action)

    def run(self, settle_s=SETTLE_S):
        self.fleet.run_until(self.begin + SECONDS + settle_s)

    def retained_share(self):
        found = sum(self.fleet.is_retained_anywhere(trace_id) for trace_id in self.failed)
        return found / len(self.failed)

    def primaries(self, trace_id):
        services = self.fleet.services.values()
        found = [(service.member_id, service.store.get(trace_id)) for service in services]
        return [member for member, trace in found if trace and trace.primary == member]


class ErrorsAreRetained(TestCase):
    def test_all_errors_are_retained_when_messages_are_lost_but_no_process_is(self):
        load = Load(1, loss=0.05)
        load.run()
        self.assertThat(len(load.failed), GreaterThan(150))
        self.assertThat(load.fleet.lost_messages, GreaterThan(50))
        self.assertThat(load.retained_share(), Equals(1.0))

    def test_errors_survive_the_crash_of_any_one_collector(self):
        for number in range(1, NODES + 1):
            load = Load(10 + number)
            load.at(11.0, lambda load=load, n=number: load.fleet.crash(MemberId(f"node-{n}")))
            load.run()
            self.assertThat(load.retained_share(), GreaterThan(0.99))

    def test_errors_survive_two_crashes_long_after_their_verdicts(self):
        load = Load(3)
        load.at(60.0, lambda: load.fleet.crash(MemberId("node-2")))
        load.at(75.0, lambda: load.fleet.crash(MemberId("node-4")))
        load.run()
        self.assertThat(load.retained_share(), Equals(1.0))

    def test_errors_survive_a_restart_without_memory_within_the_lease(self):
        load = Load(4)

        def restart():
            load.fleet.crash(MemberId("node-2"))
            load.fleet.join(MemberId("node-2"))

        load.at(11.0, restart)
        load.run()
        self.assertThat(load.retained_share(), GreaterThan(0.99))

    def test_errors_survive_when_new_members_replace_all_first_ones(self):
        load = Load(5)
        for number in range(1, NODES + 1):
            leaver = MemberId(f"node-{number}")
            newcomer = MemberId(f"node-{number + NODES}")
            load.at(4.0 * number, lambda newcomer=newcomer: load.fleet.join(newcomer))
            load.at(4.0 * number + 1.0, lambda leaver=leaver: load.fleet.leave(leaver, 2.5))
        load.run()
        self.assertThat(load.retained_share(), Equals(1.0))
        without_one_primary = [trace for trace in load.failed if len(load.primaries(trace)) != 1]
        self.assertThat(without_one_primary, HasLength(0))

    def test_every_buffer_is_empty_some_time_after_a_crash_and_lost_messages(self):
        load = Load(6, loss=0.02)
        load.at(11.0, lambda: load.fleet.crash(MemberId("node-1")))
        load.run(settle_s=400.0)
        for service in load.fleet.services.values():
            left = (len(service.collector), service.sender.retained_bytes, service.is_idle)
            self.assertThat(left, Equals((0, 0, True)))


class LongStreams(TestCase):
    def test_a_stream_that_outlasts_the_wait_is_retained_complete_with_its_late_error(self):
        fleet = TracingFleet(7)
        fleet.start(NODES)
        service = fleet.services[MemberId("node-1")]
        service.recorder.limiter.set_rate(1.0)
        root = service.recorder.start("request", attributes={"request_id": "chat-1"})
        first = service.recorder.start("dispatch", root.context)
        first.end()
        fleet.run_until(fleet.now + 90.0)
        second = service.recorder.start("dispatch", root.context)
        second.error("stream broke")
        second.end()
        root.end()
        fleet.run_until(fleet.now + 60.0)
        found = [s.store.get(root.context.trace_id) for s in fleet.services.values()]
        [retained] = [trace for trace in found if trace and trace.primary != trace.replica_member][
            :1
        ]
        names = sorted(span.name for span in retained.spans())
        self.assertThat(names, Equals(["dispatch", "dispatch", "request"]))
        self.assertThat((retained.policy, retained.weight), Equals(("errors-always", 1.0)))

    def test_a_stream_whose_ingress_node_crashes_is_retained(self):
        fleet = TracingFleet(8)
        fleet.start(NODES)
        ingress = MemberId("node-1")
        fleet.services[ingress].recorder.limiter.set_rate(1.0)
        root = fleet.services[ingress].recorder.start("request")
        fleet.run_until(fleet.now + 12.0)
        fleet.crash(ingress)
        fleet.run_until(fleet.now + 60.0)
        found = [s.store.get(root.context.trace_id) for s in fleet.services.values()]
        self.assertThat({trace.policy for trace in found if trace}, Equals({"entry-lost"}))


class Backpressure(TestCase):
    def test_small_budgets_are_not_exceeded_and_errors_are_retained(self):
        load = Load(9, nodes=3, collector_bytes=60_000, sender_bytes=120_000)
        peaks = []

        def record_sizes():
            for service in load.fleet.services.values():
                sender = service.sender
                used = (sender.queued_bytes + sender.retained_bytes, service.collector.size_bytes)
                peaks.append(used)

        for step in range(int(SECONDS) * 4):
            load.at(step * 0.25, record_sizes)
        load.run()
        self.assertThat(max(sender for sender, _ in peaks), LessThan(120_001))
        self.assertThat(max(collector for _, collector in peaks), LessThan(60_001))
        self.assertThat(load.retained_share(), Equals(1.0))


class Messages(TestCase):
    def test_every_tracing_message_is_encoded_and_decoded_unchanged(self):
        fleet = TracingFleet(11)
        seen = set()

        def through_codec(message):
            name = type(message).MESSAGE_NAME
            copy = decode_message(name, encode_message(message))
            self.assertThat(copy, Equals(message))
            seen.add(name)
            return copy

        fleet.transform_message = through_codec
        fleet.start(3)
        draw = random.Random(1)
        for _ in range(60):
            trace_request(fleet, fleet.pick_service(), RequestMix(error_share=0.5), draw)
            fleet.run_until(fleet.now + 0.2)
        fleet.run_until(fleet.now + 60.0)
        fleet.join(MemberId("node-9"))
        fleet.run_until(fleet.now + 5.0)
        ingress = fleet.services[MemberId("node-1")].recorder
        ingress.limiter.set_rate(0.0)
        root = ingress.start("request")
        root.header_for(MemberId("node-2"))
        root.error("late")
        fleet.run_until(fleet.now + 1.0)
        declared = {name for name in message_classes() if name.startswith("tracing.")}
        self.assertThat(seen, Equals(declared))
