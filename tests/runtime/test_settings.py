"""Settings: bad input gives one typed error that names the remedy."""

from __future__ import annotations

import tempfile
from pathlib import Path

import testtools
from testtools.matchers import Contains, Equals

from zincvale.model.errors import InvalidInputError
from zincvale.runtime.settings import load_settings

GOOD = """
cluster_id: test
member_id: node-1
role: node
zone: zone-a
api_address: 127.0.0.1:8000
peer_address: 127.0.0.1:9000
"""


class SettingsTest(testtools.TestCase):
    def _load(self, text: str) -> object:
        folder = Path(self.useTempFolder())
        path = folder / "settings.yaml"
        path.write_text(text, encoding="utf-8")
        return load_settings(str(path))

    def useTempFolder(self) -> str:  # noqa: N802
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        return folder.name

    def _refusal(self, text: str) -> str:
        return str(self.assertRaises(InvalidInputError, self._load, text))

    def test_good_file(self) -> None:
        self.assertThat(self._load(GOOD).zone, Equals("zone-a"))  # type: ignore[attr-defined]

    def test_unknown_field_gets_the_nearest_name(self) -> None:
        self.assertThat(
            self._refusal(GOOD + "api_adress: 127.0.0.1:1\n"),
            Contains("did you mean 'api_address'?"),
        )

    def test_missing_field(self) -> None:
        self.assertThat(
            self._refusal(GOOD.replace("zone: zone-a", "")), Contains("'zone' is missing")
        )

    def test_wrong_type(self) -> None:
        self.assertThat(self._refusal(GOOD + "seeds: 5\n"), Contains("'seeds'"))

    def test_host_name_instead_of_number(self) -> None:
        self.assertThat(
            self._refusal(GOOD.replace("127.0.0.1:8000", "localhost:8000")),
            Contains("write an IP number"),
        )

    def test_core_without_data_folder(self) -> None:
        self.assertThat(
            self._refusal(GOOD.replace("role: node", "role: core")), Contains("data_folder")
        )

    def test_not_yaml(self) -> None:
        self.assertThat(self._refusal("a: [1"), Contains("not YAML"))

    def test_no_file(self) -> None:
        error = self.assertRaises(InvalidInputError, load_settings, "/nonexistent/settings.yaml")
        self.assertThat(str(error), Contains("name a readable file"))

    def test_text_is_not_taken_for_a_list(self) -> None:
        self.assertThat(
            self._refusal(GOOD + 'seeds: "127.0.0.1:1"\n'), Contains("not a list of text")
        )
