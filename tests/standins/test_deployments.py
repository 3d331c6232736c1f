from collections import Counter
from pathlib import Path

import yaml
from testtools import TestCase

from tests.standins.helpers import temporary_folder
from zincvale.model.checked import read_checked
from zincvale.model.errors import InvalidInputError
from zincvale.model.resources import SPEC_BY_KIND, PoolKind
from zincvale.standins import assemble
from zincvale.standins.deployment import load_deployment, load_intent
from zincvale.standins.load.request_plan import Planner
from zincvale.standins.load.spec import load_load_spec
from zincvale.standins.operators.script import load_script, orders
from zincvale.standins.settings import (
    LanguageModelSettings,
    dialled_address,
    load_settings,
    save_settings,
)

DEPLOYMENTS = Path(__file__).parents[2] / "deployments"
COUNTS = {
    "nilebridge": {"Model": 40, "Adapter": 75, "language-model": 6, "lookup": 3},
    "surtido": {"Model": 55, "Adapter": 100, "language-model": 9, "lookup": 3},
}


class DeploymentsTest(TestCase):
    def test_each_deployment_has_the_expected_number_of_machines_and_resources(self):
        for name, expected_counts in COUNTS.items():
            deployment = load_deployment(DEPLOYMENTS / name)
            documents = load_intent(DEPLOYMENTS / name, deployment)
            counts = Counter(document.kind for document in documents)
            counts.update(server.kind.value for server in deployment.servers)
            self.assertEqual(expected_counts, {key: counts[key] for key in expected_counts})
            self.assertEqual((3, 8), (len(deployment.cores()), len(deployment.nodes())))
            self.assertEqual({1}, set(Counter(m.zone for m in deployment.cores()).values()))

    def test_each_resource_is_valid_and_its_references_exist(self):
        for name in COUNTS:
            deployment = load_deployment(DEPLOYMENTS / name)
            documents = load_intent(DEPLOYMENTS / name, deployment)
            names = {(document.kind, document.name) for document in documents}
            self.assertEqual(len(documents), len(names))
            for document in documents:
                spec = read_checked(SPEC_BY_KIND[document.kind], document.spec, document.name)
                for field, kind in (("pool", "Pool"), ("store", "Store"), ("base_model", "Model")):
                    if hasattr(spec, field):
                        self.assertIn((kind, getattr(spec, field)), names)

    def test_minimum_replicas_use_less_than_half_of_a_pool_and_all_models_exceed_it(self):
        for name in COUNTS:
            deployment = load_deployment(DEPLOYMENTS / name)
            needed = Counter()
            total = Counter()
            for document in load_intent(DEPLOYMENTS / name, deployment):
                if document.kind == "Model":
                    pool = document.spec["pool"]
                    total[pool] += document.spec["weight_bytes"]
                    needed[pool] += document.spec["weight_bytes"] * document.spec.get(
                        "min_replicas", 0
                    )
            for pool, profile in deployment.language_model_profiles.items():
                servers = [server for server in deployment.servers if server.pool == pool]
                memory_bytes = (profile.memory_bytes - profile.kv_cache_bytes) * len(servers)
                self.assertLess(needed[pool], memory_bytes / 2)
                self.assertGreater(total[pool], memory_bytes)

    def test_moving_a_deployment_to_another_network_changes_its_store_addresses(self):
        deployment = load_deployment(DEPLOYMENTS / "nilebridge").moved_to("127.99")
        documents = load_intent(DEPLOYMENTS / "nilebridge", deployment)
        stores = [document.spec["address"] for document in documents if document.kind == "Store"]
        self.assertEqual(["127.99.1.50:9100", "127.99.2.51:9100"], stores)

    def test_every_load_file_and_operator_script_is_valid(self):
        for name in COUNTS:
            folder = DEPLOYMENTS / name
            documents = load_intent(folder, load_deployment(folder))
            loads = sorted((folder / "loads").glob("*.yaml"))
            self.assertEqual(5, len(loads))
            for path in loads:
                Planner(load_load_spec(path), documents, seed=1)
            planned = orders(load_script(folder / "operators.yaml"), seed=1)
            self.assertEqual(len(planned), len({order.order_id for order in planned}))

    def test_settings_are_unchanged_after_saving_and_loading(self):
        folder = DEPLOYMENTS / "surtido"
        deployment = load_deployment(folder)
        for server in deployment.servers:
            if server.kind is PoolKind.LANGUAGE_MODEL:
                settings = assemble.language_model_settings(deployment, server, "journals")
                path = temporary_folder(self) / "settings.yaml"
                save_settings(settings, path)
                self.assertEqual(settings, load_settings(LanguageModelSettings, path))
        callers = assemble.callers_settings(deployment, folder, "crowd", "journals", 30.0)
        self.assertEqual(str(folder / "loads" / "crowd.yaml"), callers.load)
        platform = assemble.platform_settings(deployment, "journals")
        self.assertEqual((12, 8), (len(platform.servers), len(platform.nodes)))


class BadDeploymentTest(TestCase):
    def _load_error(self, change):
        text = (DEPLOYMENTS / "nilebridge" / "deployment.yaml").read_text(encoding="utf-8")
        data = yaml.safe_load(text)
        change(data)
        folder = temporary_folder(self)
        (folder / "deployment.yaml").write_text(yaml.safe_dump(data), encoding="utf-8")
        return self.assertRaises(InvalidInputError, load_deployment, folder)

    def test_a_network_that_is_not_loopback_is_refused(self):
        error = self._load_error(lambda data: data.update(network="10.1"))
        self.assertIn("127", error.remedy)

    def test_an_unknown_zone_is_refused(self):
        error = self._load_error(lambda data: data["servers"][0].update(zone="zone-z"))
        self.assertIn("zone-a", error.remedy)

    def test_an_address_that_is_used_twice_is_refused(self):
        first = "1.101"
        error = self._load_error(lambda data: data["servers"][1].update(host=first))
        self.assertIn("127.21.1.101:9000", error.problem)

    def test_a_pool_without_a_profile_is_refused(self):
        error = self._load_error(lambda data: data["lookup_profiles"].clear())
        self.assertIn("branch-quotes", error.problem)

    def test_the_error_for_an_unknown_field_names_the_most_similar_field(self):
        error = self._load_error(lambda data: data.update(zonez=[]))
        self.assertIn("'zones'", error.remedy)

    def test_a_missing_file_is_refused(self):
        error = self.assertRaises(InvalidInputError, load_deployment, temporary_folder(self))
        self.assertIn("cannot be read", error.problem)

    def test_an_address_outside_loopback_is_never_dialled(self):
        self.assertRaises(InvalidInputError, dialled_address, "192.168.0.1:80", {})
        self.assertRaises(InvalidInputError, dialled_address, "a:1", {"a:1": "10.0.0.1:1"})
        self.assertEqual("127.0.0.2:5", dialled_address("a:1", {"a:1": "127.0.0.2:5"}))
