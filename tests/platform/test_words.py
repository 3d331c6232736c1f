"""The platform's names appear only in its adapter, and no other package imports the adapter."""

from __future__ import annotations

import re
from pathlib import Path

import testtools

SOURCE = Path(__file__).resolve().parents[2] / "src" / "zincvale"
ADAPTER = SOURCE / "platform"
PLATFORM_NAMES = re.compile(
    r"Not-Executed|not-executed|Server-Signature|Expect-Instance|Deadline-Ms\b(?<!X-Deadline-Ms)"
    r"|Prompt-Prefix|Token-Counts|Request-Urgency|Expect-Version|Weight-Versions|Cold-Remaining-Ms"
    r"|ZINCVALE_CONFIG|pageToken|fencingToken|expectedRevision|coldRemainingMs|pathPrefix"
    r"|trafficSplit|targetLatencyMs|adapterSlots|loadsPerS|weightsMb|dataDirectory|internalPorts"
    r"|/v1/order\b|/v1/report|/v1/configuration|/v1/evacuate|/v1/ready|/instances"
)
MAX_ADAPTER_LINES = 700
"""Line limit of the adapter: it holds names, formats and calls; decisions belong to other
packages."""


def source_files():
    return sorted(SOURCE.rglob("*.py"))


class AdapterBoundaryTest(testtools.TestCase):
    def test_no_name_of_the_platform_appears_outside_its_adapter(self):
        found = []
        for path in source_files():
            if ADAPTER in path.parents:
                continue
            for number, line in enumerate(path.read_text(encoding="utf-8").splitlines(), 1):
                if PLATFORM_NAMES.search(line):
                    found.append(f"{path.relative_to(SOURCE)}:{number}: {line.strip()}")
        self.assertEqual([], found)

    def test_no_other_package_imports_the_adapter(self):
        pattern = re.compile(r"^\s*(from|import) zincvale\.platform", re.MULTILINE)
        importers = [
            str(path.relative_to(SOURCE))
            for path in source_files()
            if ADAPTER not in path.parents and pattern.search(path.read_text(encoding="utf-8"))
        ]
        self.assertEqual([], importers)

    def test_the_adapter_stays_within_its_line_limit(self):
        lines = sum(
            len(path.read_text(encoding="utf-8").splitlines()) for path in ADAPTER.glob("*.py")
        )
        self.assertTrue(lines <= MAX_ADAPTER_LINES, lines)
