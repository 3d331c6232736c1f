"""Daemon settings: invalid input raises one typed error with a remedy."""

from __future__ import annotations

import tempfile
from pathlib import Path

import testtools
from testtools.matchers import Contains, Equals

from zincvale.model.errors import InvalidInputError
from zincvale.runtime.settings import load_settings

VALID_SETTINGS = """
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

    def _error_text(self, text: str) -> str:
        return str(self.assertRaises(InvalidInputError, self._load, text))

    def test_a_valid_file_is_loaded(self) -> None:
        self.assertThat(self._load(VALID_SETTINGS).zone, Equals("zone-a"))  # type: ignore[attr-defined]

    def test_an_unknown_field_is_refused_with_the_nearest_name(self) -> None:
        self.assertThat(
            self._error_text(VALID_SETTINGS + "api_adress: 127.0.0.1:1\n"),
            Contains("did you mean 'api_address'?"),
        )

    def test_a_missing_field_is_refused(self) -> None:
        self.assertThat(
            self._error_text(VALID_SETTINGS.replace("zone: zone-a", "")),
            Contains("'zone' is missing"),
        )

    def test_a_field_of_the_wrong_type_is_refused(self) -> None:
        self.assertThat(self._error_text(VALID_SETTINGS + "seeds: 5\n"), Contains("'seeds'"))

    def test_a_host_name_instead_of_an_ip_address_is_refused(self) -> None:
        self.assertThat(
            self._error_text(VALID_SETTINGS.replace("127.0.0.1:8000", "localhost:8000")),
            Contains("write an IP address"),
        )

    def test_a_core_without_a_data_folder_is_refused(self) -> None:
        self.assertThat(
            self._error_text(VALID_SETTINGS.replace("role: node", "role: core")),
            Contains("data_folder"),
        )

    def test_a_file_that_is_not_yaml_is_refused(self) -> None:
        self.assertThat(self._error_text("a: [1"), Contains("not YAML"))

    def test_a_missing_file_is_refused(self) -> None:
        error = self.assertRaises(InvalidInputError, load_settings, "/nonexistent/settings.yaml")
        self.assertThat(str(error), Contains("name a readable file"))

    def test_text_in_place_of_a_list_is_refused(self) -> None:
        self.assertThat(
            self._error_text(VALID_SETTINGS + 'seeds: "127.0.0.1:1"\n'),
            Contains("not a list of text"),
        )
