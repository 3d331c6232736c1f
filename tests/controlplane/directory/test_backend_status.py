"""Decoding of valid and malformed responses of back ends and of the platform."""

from __future__ import annotations

from typing import Any

import orjson
import testtools

from tests.controlplane.directory.directory_driver import status_body
from zincvale.controlplane.directory.backend_status import (
    MAX_STATUS_BYTES,
    read_platform_list,
    read_server_status,
)
from zincvale.model.control_tables import ServerHealth
from zincvale.model.errors import MalformedBodyError

ROW = {
    "server": "s1",
    "address": "127.0.0.20:8000",
    "pool": "chat",
    "zone": "zone-a",
    "kind": "lookup",
}


def status_with(**fields: Any) -> bytes:
    return orjson.dumps({**orjson.loads(status_body("s1")), **fields})


def list_with(**fields: Any) -> bytes:
    return orjson.dumps({"servers": [{**ROW, **fields}]})


class BackendStatusTest(testtools.TestCase):
    def test_a_valid_status_is_decoded(self) -> None:
        status = read_server_status(status_body("s1", running=3))
        self.assertEqual(
            ("s1", 3, ServerHealth.READY), (status.server, status.running, status.health)
        )
        self.assertEqual(
            ({"base-1"}, set(), {"tone-1"}), (status.models, status.adapters, status.loading)
        )

    def test_a_valid_platform_list_is_decoded(self) -> None:
        row = read_platform_list(list_with())[0]
        self.assertEqual(
            ("s1", "127.0.0.20:8000", "lookup"), (row.server, row.address, row.kind.value)
        )
        self.assertEqual([], read_platform_list(b'{"servers":[]}'))

    def test_malformed_responses_raise_typed_errors(self) -> None:
        for body in (
            b"",
            b"<html>",
            b"[]",
            b"null",
            b"{}",
            status_with(server=""),
            status_with(incarnation=7),
            status_with(state="warm"),
            status_with(running=-1),
            status_with(memory_bytes="lots"),
            status_with(models={"name": "base-1"}),
            status_with(models=[{"name": "base-1"}]),
            status_with(models=None),
            b" " * (MAX_STATUS_BYTES + 1),
        ):
            error = self.assertRaises(MalformedBodyError, read_server_status, body)
            self.assertNotEqual("", error.remedy)
        for body in (
            b"{}",
            b'{"servers":7}',
            b'{"servers":[7]}',
            list_with(address="somewhere:80"),
            list_with(kind="disk"),
            list_with(zone=""),
        ):
            self.assertRaises(MalformedBodyError, read_platform_list, body)
