"""The example of an embedded register does what its page says."""

from __future__ import annotations

import importlib.util
from pathlib import Path

import testtools
from testtools.matchers import Equals, HasLength

EXAMPLE = Path(__file__).resolve().parents[2] / "examples" / "embedded_register.py"


class ExampleTest(testtools.TestCase):
    def test_a_resent_change_gets_its_first_result_and_one_core_leads(self) -> None:
        spec = importlib.util.spec_from_file_location("embedded_register", EXAMPLE)
        assert spec is not None and spec.loader is not None
        example = importlib.util.module_from_spec(spec)
        spec.loader.exec_module(example)
        replies, values, leaders = example.run()
        self.assertThat([reply.version for reply in replies], Equals([1, 1]))
        self.assertThat(set(map(str, values.values())), Equals({str({"greeting": b"hello"})}))
        self.assertThat(leaders, HasLength(1))
