from testtools import TestCase

from zincvale.standins.language_model.residency import OrderError, Residency, WeightState


class ResidencyTest(TestCase):
    def setUp(self):
        super().setUp()
        self.residency = Residency(memory_bytes=100, max_concurrent_loads=2)

    def _load(self, model, size_bytes):
        self.residency.order_model_load(model, size_bytes, 0)
        self.residency.load_completed(model)

    def test_models_that_are_loading_count_as_used_memory(self):
        self.assertIsNone(self.residency.order_model_load("m", 60, 0).error)
        self.assertFalse(self.residency.serves("m", ""))
        self.assertEqual(OrderError.MEMORY, self.residency.order_model_load("n", 41, 0).error)
        self.assertEqual(60, self.residency.used_bytes())

    def test_a_load_is_refused_if_pinned_kv_blocks_leave_too_little_memory(self):
        self.assertEqual(OrderError.MEMORY, self.residency.order_model_load("m", 60, 41).error)

    def test_concurrent_loads_are_limited(self):
        for model in ("m", "n"):
            self.residency.order_model_load(model, 10, 0)
        self.assertEqual(OrderError.BUSY, self.residency.order_model_load("o", 10, 0).error)

    def test_a_resident_model_is_not_loaded_again(self):
        self._load("m", 60)
        self.assertTrue(self.residency.order_model_load("m", 60, 0).is_already_done)
        self.assertEqual(60, self.residency.used_bytes())

    def test_an_adapter_load_requires_a_loaded_base_model(self):
        self.residency.order_model_load("m", 10, 0)
        result = self.residency.order_adapter_load("a", "m", 1, 0)
        self.assertEqual(OrderError.BASE_MODEL, result.error)
        self.residency.load_completed("m")
        self.assertIsNone(self.residency.order_adapter_load("a", "m", 1, 0).error)
        self.residency.load_completed("a")
        self._load("n", 10)
        self.assertTrue(self.residency.serves("m", "a"))
        self.assertFalse(self.residency.serves("n", "a"))

    def test_a_model_in_use_is_removed_when_its_last_request_ends(self):
        self._load("m", 60)
        self.residency.acquire("m", "")
        self.assertEqual((), self.residency.order_model_unload("m").removed)
        self.assertEqual(WeightState.UNLOADING, self.residency.models["m"].state)
        self.assertFalse(self.residency.serves("m", ""))
        self.assertEqual(OrderError.BUSY, self.residency.order_model_load("m", 60, 0).error)
        self.assertEqual(("m",), self.residency.release("m", ""))
        self.assertEqual(0, self.residency.used_bytes())

    def test_unloading_a_model_unloads_its_adapters(self):
        self._load("m", 60)
        self.residency.order_adapter_load("a", "m", 5, 0)
        self.assertEqual(("a", "m"), self.residency.order_model_unload("m").removed)
        self.assertFalse(self.residency.load_completed("a"))

    def test_a_failed_load_releases_its_memory(self):
        self.residency.order_model_load("m", 60, 0)
        self.residency.load_failed("m")
        self.assertEqual(0, self.residency.used_bytes())

    def test_unloading_what_is_not_resident_is_an_error(self):
        self.assertEqual(OrderError.NOT_RESIDENT, self.residency.order_model_unload("m").error)
        self.assertEqual(OrderError.NOT_RESIDENT, self.residency.order_adapter_unload("a").error)
