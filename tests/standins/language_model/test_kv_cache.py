from testtools import TestCase

from zincvale.standins.language_model.kv_cache import KvCache


class KvCacheTest(TestCase):
    def test_least_recently_used_blocks_are_evicted_first(self):
        cache = KvCache(2, 1)
        cache.set_capacity(8)
        for prompt in ("a b", "c d", "e f", "g h"):
            cache.release(cache.allocate("m", prompt.split(), 2), computed=True)
        cache.release(cache.allocate("m", ["a", "b"], 2), computed=True)
        cache.release(cache.allocate("m", ["i", "j"], 2), computed=True)
        self.assertEqual(2, cache.allocate("m", ["a", "b"], 2).cached_tokens)
        self.assertEqual(0, cache.allocate("m", ["c", "d"], 2).cached_tokens)
        self.assertLessEqual(cache.used_bytes(), 8)

    def test_pinned_blocks_are_never_evicted(self):
        cache = KvCache(2, 1)
        cache.set_capacity(4)
        allocation = cache.allocate("m", ["a", "b", "c", "d"], 4)
        self.assertIsNone(cache.allocate("m", ["e", "f"], 2))
        cache.release(allocation, computed=False)
        self.assertEqual(0, cache.used_bytes())

    def test_reducing_the_capacity_evicts_idle_blocks(self):
        cache = KvCache(2, 1)
        cache.set_capacity(8)
        cache.release(cache.allocate("m", ["a", "b", "c", "d"], 4), computed=True)
        cache.set_capacity(2)
        self.assertEqual(2, cache.used_bytes())
