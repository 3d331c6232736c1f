from testtools import TestCase

from tests.standins.helpers import temporary_folder
from tests.standins.load.sample_load import spec
from zincvale.model.errors import InvalidInputError
from zincvale.standins.load.spec import (
    Between,
    Crowd,
    load_load_spec,
)
from zincvale.standins.settings import save_settings


class LoadFileTest(TestCase):
    def test_a_crowd_with_an_unknown_caller_is_refused(self):
        path = temporary_folder(self) / "load.yaml"
        save_settings(spec(crowds=[Crowd(1, 1, 2, ["chat"])]), path)
        error = self.assertRaises(InvalidInputError, load_load_spec, path)
        self.assertIn("'chat'", error.problem)

    def test_an_empty_range_is_refused(self):
        path = temporary_folder(self) / "load.yaml"
        load = spec()
        load.callers[0].max_tokens = Between(9, 3)
        save_settings(load, path)
        self.assertRaises(InvalidInputError, load_load_spec, path)
