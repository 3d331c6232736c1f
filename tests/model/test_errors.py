"""Which fields of an error appear in its text, JSON body and logs."""

from __future__ import annotations

import testtools

from zincvale.model.errors import (
    BodyTooLargeError,
    StartupError,
    StorageError,
    VersionConflictError,
    WrongClusterError,
    ZincvaleError,
)

ERRORS: tuple[tuple[ZincvaleError, str, int], ...] = (
    (BodyTooLargeError("p", "r", size_bytes=9, limit_bytes=8), "too-large", 413),
    (VersionConflictError("p", "r", 4), "conflict", 409),
    (WrongClusterError("p", "r", expected_cluster="a", actual_cluster="b"), "wrong-cluster", 421),
    (StorageError("p", "r", path="/data"), "storage", 507),
    (StartupError("p", "r", address="127.0.0.1:1"), "start", 500),
)


class ErrorTest(testtools.TestCase):
    def test_detail_fields_appear_neither_in_the_text_nor_in_the_json_body(self) -> None:
        for error, kind, status in ERRORS:
            self.assertEqual({"kind": kind, "problem": "p", "remedy": "r"}, error.to_json())
            self.assertEqual("p; r", str(error))
            self.assertEqual(status, error.http_status)

    def test_detail_fields_do_not_appear_in_the_logged_representation(self) -> None:
        self.assertEqual("StorageError(problem='p', remedy='r')", repr(ERRORS[3][0]))
        self.assertEqual("StorageError(problem='p', remedy='r')", repr(StorageError("p", "r")))

    def test_detail_fields_can_be_read_as_attributes(self) -> None:
        too_large, _, wrong_cluster, storage, startup = (error for error, _, _ in ERRORS)
        self.assertEqual((9, 8), (too_large.size_bytes, too_large.limit_bytes))
        clusters = (wrong_cluster.expected_cluster, wrong_cluster.actual_cluster)
        self.assertEqual(("a", "b"), clusters)
        self.assertEqual(("/data", "127.0.0.1:1"), (storage.path, startup.address))
