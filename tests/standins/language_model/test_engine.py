from testtools import TestCase

from zincvale.standins.deployment import LanguageModelProfile
from zincvale.standins.generation import GenerationKey, full_response, response_length
from zincvale.standins.language_model.engine import Engine, Finished, Refusal, TokenEmitted

PREFIX = " ".join(f"shared{number}" for number in range(64))


def make_engine(**changes):
    values = {
        "memory_bytes": 10_000_000,
        "pull_bytes_per_second": 1,
        "prefill_tokens_per_second": 1000.0,
        "decode_s_per_token": 0.02,
        "batch_slowdown": 0.1,
        "max_running": 4,
        "max_queued": 2,
        "kv_cache_bytes": 1_000_000,
        "kv_block_tokens": 16,
        "kv_bytes_per_token": 100,
        "ramp_s": 0.0,
        **changes,
    }
    engine = Engine(LanguageModelProfile(**values))
    engine.set_free_memory(10_000_000)
    engine.begin_warm_up(0.0)
    return engine


def key(prompt, max_tokens=8):
    return GenerationKey("m", "", prompt, max_tokens)


def run_to_end(engine):
    """Advance the engine step by step until it is idle; return pairs of time and event."""
    events = []
    while engine.next_at() is not None:
        now = engine.next_at()
        events += [(now, event) for event in engine.advance(now)]
    return events


def first_token_at(events, run_id):
    return next(at for at, event in events if event.run_id == run_id)


class EngineTest(TestCase):
    def test_one_request_prefills_and_decodes_at_the_speed_of_the_profile(self):
        engine = make_engine()
        self.assertIsNone(engine.submit("r1", key("a b c d e f g h i j"), [], 0.0))
        events = run_to_end(engine)
        length = response_length(key("a b c d e f g h i j"))
        self.assertAlmostEqual(0.010, events[0][0])
        self.assertAlmostEqual(0.010 + 0.02 * (length - 1), events[-1][0])
        self.assertEqual(Finished("r1", length), events[-1][1])
        texts = [event.text for _, event in events if isinstance(event, TokenEmitted)]
        self.assertEqual(full_response(key("a b c d e f g h i j")), texts)

    def test_requests_take_longer_in_a_batch(self):
        alone = make_engine()
        alone.submit("r1", key("one two"), [], 0.0)
        together = make_engine()
        for run_id in ("r1", "r2", "r3"):
            together.submit(run_id, key("one two"), [], 0.0)
        self.assertGreater(run_to_end(together)[-1][0], 1.1 * run_to_end(alone)[-1][0])

    def test_a_cached_prefix_is_not_prefilled_again(self):
        engine = make_engine()
        engine.submit("r1", key(f"{PREFIX} first"), [], 0.0)
        cold = run_to_end(engine)
        start = cold[-1][0]
        engine.submit("r2", key(f"{PREFIX} second"), [], start)
        warm = run_to_end(engine)
        self.assertAlmostEqual(0.065, first_token_at(cold, "r1"))
        self.assertAlmostEqual(0.001, first_token_at(warm, "r2") - start)

    def test_requests_for_different_adapters_share_no_cached_prefix(self):
        engine = make_engine()
        engine.submit("r1", key(f"{PREFIX} first"), [], 0.0)
        start = run_to_end(engine)[-1][0]
        engine.submit("r2", GenerationKey("m", "a", f"{PREFIX} first", 8), [], start)
        self.assertAlmostEqual(0.065, first_token_at(run_to_end(engine), "r2") - start)

    def test_a_continuation_prefills_its_prefix_and_continues_its_numbering(self):
        engine = make_engine()
        complete = full_response(key("one two"))
        engine.submit("r1", key("one two"), complete[:2], 0.0)
        events = run_to_end(engine)
        self.assertAlmostEqual(0.004, events[0][0])
        self.assertEqual(TokenEmitted("r1", 3, complete[2]), events[0][1])
        self.assertEqual(Finished("r1", len(complete)), events[-1][1])

    def test_a_request_with_a_complete_prefix_emits_no_token(self):
        engine = make_engine()
        complete = full_response(key("one two"))
        engine.submit("r1", key("one two"), complete, 0.0)
        self.assertEqual([Finished("r1", len(complete))], [e for _, e in run_to_end(engine)])

    def test_a_request_beyond_the_batch_and_the_queue_is_refused(self):
        engine = make_engine()
        taken = [engine.submit(f"r{number}", key("p"), [], 0.0) for number in range(7)]
        self.assertEqual([None] * 6 + [Refusal.OVERLOADED], taken)
        self.assertEqual((4, 2), (engine.running_count(), engine.queued_count()))

    def test_a_cold_server_accepts_more_requests_as_it_warms_up(self):
        engine = make_engine(ramp_s=4.0)
        self.assertTrue(engine.is_cold(2.0))
        self.assertEqual([1, 2, 4], [engine.max_running(now) for now in (0.0, 2.0, 4.0)])
        taken = [engine.submit(f"r{number}", key("p"), [], 2.0) for number in range(3)]
        self.assertEqual([None, None, Refusal.COLD], taken)
        self.assertFalse(engine.is_cold(4.0))
        self.assertIsNone(engine.submit("r3", key("p"), [], 4.0))

    def test_a_request_larger_than_the_cache_is_refused(self):
        engine = make_engine(kv_cache_bytes=1600)
        self.assertEqual(Refusal.TOO_LARGE, engine.submit("r1", key("w " * 20), [], 0.0))

    def test_a_request_waits_in_the_queue_while_the_cache_is_full(self):
        engine = make_engine(kv_cache_bytes=3200)
        engine.submit("r1", key("a b c d e f g h i j"), [], 0.0)
        engine.submit("r2", key("k l m n o p q r s t"), [], 0.0)
        self.assertEqual((1, 1), (engine.running_count(), engine.queued_count()))
        ends = [e.run_id for _, e in run_to_end(engine) if isinstance(e, Finished)]
        self.assertEqual(["r1", "r2"], ends)

    def test_a_cancelled_request_is_removed_and_frees_its_blocks(self):
        engine = make_engine()
        engine.submit("r1", key(f"{PREFIX} first"), [], 0.0)
        self.assertEqual(0, engine.cancel("r1"))
        self.assertIsNone(engine.cancel("r1"))
        self.assertEqual(0, engine.cache.pinned_bytes())
        self.assertEqual([], run_to_end(engine))

    def test_a_freeze_does_not_release_a_burst_of_tokens(self):
        engine = make_engine()
        engine.submit("r1", key("one two"), [], 0.0)
        self.assertEqual(1, len(engine.advance(20.0)))
        self.assertEqual([], engine.advance(20.001))
        self.assertAlmostEqual(20.02, engine.next_at())

    def test_steps_take_longer_by_the_slow_factor(self):
        engine = make_engine()
        engine.slow_factor = 5.0
        engine.submit("r1", key("one two"), [], 0.0)
        self.assertAlmostEqual(0.010, engine.next_at())
