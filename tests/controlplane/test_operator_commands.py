"""Operator commands, run from their command lines against in-memory cores."""

from __future__ import annotations

import asyncio
import contextlib
import io
import tempfile
from collections import deque
from collections.abc import Callable
from pathlib import Path

import fire
import orjson
import pycurl
import testtools
from tornado.curl_httpclient import CurlError
from tornado.httpclient import HTTPRequest, HTTPResponse

from tests.controlplane import fake_cores
from tests.controlplane.approval import verify
from tests.controlplane.fake_cores import FakeCores
from tests.controlplane.fake_view import FakeView, directory, server
from tests.controlplane.samples import resource
from zincvale.cli.operator.commands import OperatorCommands, operator_commands
from zincvale.cli.operator.http import CurlTransport
from zincvale.cli.operator.runner import run_operator_command
from zincvale.cli.operator.session import CoreResponse, CoreUnreachableError
from zincvale.model.errors import VersionConflictError
from zincvale.model.identifiers import MemberId

CORES = "--core=127.0.0.1:7000,127.0.0.2:7000,127.0.0.3:7000"

NEW_ZONE = """\
# two documents
kind: Zone
name: zone-c
spec: {region: north}
---
- kind: Model
  name: "1.10"
  spec:
    weight_bytes: 1_000
    store: weights
    pool: chat
- {kind: Zone, name: zone-b, spec: {evacuated: true}}
"""


ALIAS_BOMB = "kind: Zone\nname: a\nspec:\n  a0: &a0 [x, x, x, x, x, x, x, x, x, x]\n" + "".join(
    f"  a{n}: &a{n} [{', '.join([f'*a{n - 1}'] * 10)}]\n" for n in range(1, 12)
)
"""A small YAML file whose aliases expand to 10**12 values."""


class OperatorCase(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.cores = FakeCores(view=FakeView(applied={MemberId("node-1"): 7}))
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        self.lines: list[str] = []
        self.environment: dict[str, str] = {}

    def file(self, content: str, name: str = "change.yaml") -> str:
        path = self.folder / name
        path.write_text(content, encoding="utf-8")
        return str(path)

    def run_command(self, *arguments: str) -> int:
        """Run a command line as the program does; record its output and return its exit code."""
        line = " ".join(arguments).replace(f" {CORES}", "")
        self.lines.append(f"$ zincvale {line}")
        printed, error_output = io.StringIO(), io.StringIO()
        commands = operator_commands(self.commands(lambda text: print(text, file=printed)))
        with contextlib.redirect_stdout(printed), contextlib.redirect_stderr(error_output):
            code = run_operator_command(list(arguments), commands)
        self.lines += [*printed.getvalue().splitlines(), *error_output.getvalue().splitlines()]
        self.lines.append(f"exit {code}")
        self.lines = [text.replace(str(self.folder), "FOLDER") for text in self.lines]
        return code

    def commands(self, write: Callable[[str], None]) -> OperatorCommands:
        return OperatorCommands(lambda: self.cores, self.environment, write)

    def verify_lines(self, name: str) -> None:
        verify(self, name, "\n".join(self.lines))


class ApplyTest(OperatorCase):
    def test_apply_prints_the_result_and_exits_with_its_code(self) -> None:
        file = self.file(NEW_ZONE)
        self.assertEqual(0, self.run_command("apply", "-f", file, "--order-id", "7", CORES))
        self.assertEqual(4, self.run_command("apply", "-f", file, "--base-version", "7", CORES))
        self.assertEqual(
            0,
            self.run_command(
                "apply", f"--file={file}", "--order_id=o-2", "--output", "json", CORES
            ),
        )
        bad = self.file("kind: Zone\nname: a\nspec: {}\n---\nkind: Zne\nname: b\n", "bad.yaml")
        self.assertEqual(1, self.run_command("apply", "-f", bad, CORES))
        dangling = self.file("kind: Route\nname: r\nspec: {path: /r, pool: nowhere}\n")
        self.assertEqual(1, self.run_command("apply", "-f", dangling, CORES))
        self.assertEqual(2, self.run_command("apply", "-f", file, "--mode", "replace", CORES))
        self.assertEqual(2, self.run_command("apply", "-f", file, "--mode", "patch", CORES))
        self.assertEqual(2, self.run_command("apply", "-f", file, "--base-version", "x", CORES))
        self.assertEqual(2, self.run_command("apply", "-f", file, "--limit-s", "0", CORES))
        self.assertEqual(2, self.run_command("apply", "-f", file))
        self.assertEqual(2, self.run_command("apply", "-f", file, "--core", "localhost:1"))
        self.assertEqual(2, self.run_command("apply", CORES))
        sent = len(self.cores.attempts)
        for wrong in (["--flie", "x"], ["--order-id"], ["-q"], ["one", "two"] * 5, ["--undo"]):
            self.assertEqual(2, self.run_command("apply", "-f", file, *wrong, CORES))
        self.assertEqual(2, self.run_command("aply", "-f", file, CORES))
        self.assertEqual(sent, len(self.cores.attempts))
        self.assertIn("Model/1.10", self.cores.view.rows.rows)
        self.verify_lines("cli_apply")

    def test_a_change_is_sent_again_under_its_order_id_after_a_lost_acknowledgement(self) -> None:
        self.cores.script = deque(
            [
                fake_cores.NOT_REACHED,
                fake_cores.LOST_REQUEST,
                fake_cores.LOST_RESPONSE,
                fake_cores.NOT_CONFIRMED,
            ]
        )
        file = self.file(NEW_ZONE)
        code = self.run_command(
            "apply", "-f", file, "--base-version", "7", "--order-id", "o-1", CORES
        )
        self.assertEqual(0, code)
        self.assertEqual(8, self.cores.view.rows.version)
        self.lines += self.cores.attempts
        self.verify_lines("cli_lost_acknowledgement")

    def test_an_unconfirmed_order_ends_at_the_limit_and_names_its_id(self) -> None:
        self.cores.script = deque([fake_cores.LOST_REQUEST] * 20)
        file = self.file(NEW_ZONE)
        code = self.run_command("apply", "-f", file, "--order-id", "o-1", "--limit-s", "20", CORES)
        self.assertEqual(3, code)
        self.assertEqual(20.0, self.cores.clock)
        self.cores.script = deque([fake_cores.NOT_REACHED] * 200)
        self.assertEqual(3, self.run_command("apply", "-f", file, "--order-id", "o-1", CORES))
        self.verify_lines("cli_not_confirmed")

    def test_other_cores_are_discovered_from_the_member_table(self) -> None:
        self.cores.script = deque([fake_cores.NOT_CONFIRMED])
        file = self.file(NEW_ZONE)
        self.run_command("apply", "-f", file, "--order-id", "o-1", "--core", "127.0.0.1:7000")
        # The fake member table gives this address for core-1.
        self.assertEqual(
            ["127.0.0.1:7000 o-1 not-confirmed", "127.0.0.1:7000 o-1 answer"], self.cores.attempts
        )
        self.cores.script = deque([fake_cores.NOT_CONFIRMED] * 2)
        self.run_command("apply", "-f", file, "--order-id", "o-2", "--core", "127.0.0.1:7000")
        self.assertEqual("127.0.0.30:9000 o-2 answer", self.cores.attempts[-1])

    def test_cores_are_read_from_the_environment_without_a_flag(self) -> None:
        self.environment["ZINCVALE_CORES"] = "127.0.0.8:7000"
        self.assertEqual(0, self.run_command("apply", "-f", self.file(NEW_ZONE)))
        self.assertTrue(self.cores.attempts[0].startswith("127.0.0.8:7000 "))


class TransportTest(testtools.TestCase):
    def fetch(self, outcome: Exception | HTTPResponse) -> CoreResponse:
        """Send one request, for which the client returns the response or raises the error given."""

        class Client:
            async def fetch(self, request: HTTPRequest, raise_error: bool) -> HTTPResponse:
                if isinstance(outcome, Exception):
                    raise outcome
                return outcome

        transport = CurlTransport.__new__(CurlTransport)
        transport._client = Client()  # type: ignore[assignment]
        return asyncio.run(transport.fetch("127.0.0.1:7000", "GET", "/v1/zones", {}, b"", 1.0))

    def test_only_a_refused_connection_proves_that_nothing_was_sent(self) -> None:
        for number, sent in (
            (pycurl.E_COULDNT_CONNECT, False),
            (pycurl.E_OPERATION_TIMEDOUT, True),
            (pycurl.E_RECV_ERROR, True),
            (pycurl.E_GOT_NOTHING, True),
        ):
            error = self.assertRaises(CoreUnreachableError, self.fetch, CurlError(number, "why"))
            self.assertEqual((sent, "why"), (error.sent, str(error)))

    def test_error_statuses_are_returned_as_responses(self) -> None:
        request = HTTPRequest("http://127.0.0.1:7000/")
        response = self.fetch(HTTPResponse(request, 409, buffer=io.BytesIO(b"{}")))
        self.assertEqual(CoreResponse(409, b"{}"), response)


class ResourceFileTest(OperatorCase):
    def test_invalid_files_are_refused_before_any_request(self) -> None:
        contents = {
            "twice.yaml": "kind: Zone\nname: a\nname: b\n",
            "broken.yaml": "kind: [Zone\n",
            "cycle.yaml": "kind: Zone\nname: a\nspec: &s {inner: *s}\n",
            "swollen.yaml": ALIAS_BOMB,
            "text.yaml": "just text\n",
            "empty.yaml": "# nothing\n",
            "infinite.yaml": "kind: Pool\nname: a\nspec: {max_queue: .inf}\n",
            "set.yaml": "kind: Zone\nname: a\nspec: {region: !!binary aGk=}\n",
            "number.yaml": "kind: Zone\nname: a\nspec: {1: 2}\n",
            "tag.yaml": "kind: !!python/object:os.system x\n",
            "control.yaml": "kind: Zone\nname: \x01\n",
            "broken.json": '{"kind": "Zone",}',
        }
        for name, content in contents.items():
            self.assertEqual(1, self.run_command("apply", "-f", self.file(content, name), CORES))
        self.assertEqual(1, self.run_command("apply", "-f", "/nowhere.yaml", CORES))
        (self.folder / "empty").mkdir()
        self.assertEqual(1, self.run_command("apply", "-f", str(self.folder / "empty"), CORES))
        self.assertEqual([], self.cores.attempts)
        self.verify_lines("cli_bad_files")

    def test_folders_lists_and_the_output_of_get_can_be_applied(self) -> None:
        folder = self.folder / "intent"
        folder.mkdir()
        (folder / "a.yaml").write_text("kind: Zone\nname: 2024-01-02\nspec: {}\n")
        (folder / "b.json").write_text('{"resources": [{"kind": "Zone", "name": "b", "spec": {}}]}')
        (folder / "notes.txt").write_text("not read")
        self.assertEqual(0, self.run_command("apply", "-f", str(folder), CORES))
        self.assertIn("Zone/2024-01-02", self.cores.view.rows.rows)
        before = dict(self.cores.view.rows.rows)
        self.run_command("get", "intent", "--output", "yaml", CORES)
        printed = self.lines[self.lines.index("$ zincvale get intent --output yaml") + 1 : -1]
        file = self.file("\n".join(printed), "again.yaml")
        code = self.run_command(
            "apply", "-f", file, "--mode", "replace", "--base-version", "8", CORES
        )
        self.assertEqual(0, code)
        self.assertEqual(before, self.cores.view.rows.rows)


class ReadTest(OperatorCase):
    def test_get_and_describe_read_from_another_core_when_one_is_down(self) -> None:
        self.cores.down = {"127.0.0.1:7000"}
        for line in (
            "get intent",
            "get zones",
            "get server",
            "get Model",
            "get adapters tone-1",
            "get routes",
            "get pools",
            "get members",
            "get members node-1 --output json",
            "get roles",
            "get replicas",
            "get moves",
            "get zones --output yaml",
            "get zone zone-a -o json",
            "describe server s1",
            "describe pool chat",
        ):
            self.assertEqual(0, self.run_command(*line.split(), CORES), line)
        self.verify_lines("cli_reads")

    def test_failed_reads_print_the_error_and_exit_with_its_code(self) -> None:
        for line, code in (
            ("get gadgets", 2),
            ("get zoness", 2),
            ("get zones zone-x", 1),
            ("get members node-9", 1),
            ("describe members node-1", 2),
            ("describe zone", 2),
            ("get zones --output xml", 2),
            ("watch zone", 2),
        ):
            self.assertEqual(code, self.run_command(*line.split(), CORES), line)
        self.cores.down = {"127.0.0.1:7000", "127.0.0.2:7000", "127.0.0.3:7000"}
        self.assertEqual(3, self.run_command("get", "zones", CORES))
        self.verify_lines("cli_bad_reads")


class DeclaredStateTest(OperatorCase):
    def test_drain_and_evacuate_declare_and_undo_the_state(self) -> None:
        for line, code in (
            ("drain s1 --order-id o-1", 0),
            ("drain s1 --undo --order-id o-2", 0),
            ("drain s9", 1),
            ("drain s9 --force --order-id o-3", 0),
            ("evacuate zone-a --order-id o-4 --output json", 0),
            ("evacuate zone-a --undo --order-id o-5", 0),
            ("evacuate zone-z", 1),
            ("evacuate zone-a --undo=perhaps", 2),
        ):
            self.assertEqual(code, self.run_command(*line.split(), CORES), line)
        self.lines += [body.decode() for body in self.cores.bodies]
        self.verify_lines("cli_declared_state")

    def test_wait_ends_when_the_condition_is_true_or_at_the_limit(self) -> None:
        self.cores.view.observed = directory(server("s1", running=1))
        self.cores.view.applied = {}
        code = self.run_command("drain", "s1", "--wait", "--order-id=o-1", "--limit-s", "5", CORES)
        self.assertEqual(5, code)
        self.cores.view.observed = directory(server("s1"))
        self.assertEqual(0, self.run_command("drain", "--wait", "s1", "--order-id=o-2", CORES))
        self.verify_lines("cli_wait")


class WatchTest(OperatorCase):
    def test_watch_prints_the_differences_between_versions(self) -> None:
        cores = self.cores
        changes = deque(
            [
                [resource("Zone/zone-c", {}), resource("Model/base-1", {"weight_bytes": 5})],
                [resource("Zone/zone-c", None), resource("Model/base-1", {"min_replicas": None})],
            ]
        )

        def write(line: str) -> None:
            """Record the output, then make the next change as another operator."""
            self.lines.append(line)
            if changes:
                cores.apply(orjson.dumps({"resources": changes.popleft()}))

        self.commands(write).watch(core="127.0.0.1:7000", limit_s="40")
        self.assertGreaterEqual(cores.clock, 40.0)
        self.verify_lines("cli_watch")

    def test_watch_uses_another_core_when_one_is_down(self) -> None:
        self.cores.down = {"127.0.0.1:7000"}
        code = self.run_command("watch", "--limit-s", "3", "--core", "127.0.0.1:7000")
        self.assertEqual(3, code)
        self.assertEqual(0, self.run_command("watch", "--limit-s", "3", CORES))

    def test_watch_of_a_resource_prints_its_conditions(self) -> None:
        code = self.run_command("watch", "server", "s1", "--limit-s", "2", CORES)
        self.assertEqual(0, code)
        code = self.run_command("watch", "server", "s1", "--until", "ready", CORES)
        self.assertEqual(0, code)
        self.run_command("watch", "zone", "zone-a", "--until", "inforce", "-o", "json", CORES)
        self.verify_lines("cli_watch_resource")


class OutputTest(OperatorCase):
    def test_arguments_reach_the_command_as_typed(self) -> None:
        seen: list[tuple[str, str, str]] = []

        def apply(file: str, order_id: str = "", undo: str = "False") -> None:
            seen.append((file, order_id, undo))

        for arguments in (
            ["1.10", "--order-id", "007"],
            ["--undo", "None", "--order_id=1e5"],
            ["a,b", "--undo", "false"],
            ["-f", 'it\'s "quoted"', "--order-id=--odd=x"],
            ["-f", "-"],
        ):
            self.assertEqual(0, run_operator_command(["apply", *arguments], {"apply": apply}))
        self.assertEqual(
            [
                ("1.10", "007", "False"),
                ("None", "1e5", "True"),
                ("a,b", "", "false"),
                ('it\'s "quoted"', "--odd=x", "False"),
                ("/dev/stdin", "", "False"),
            ],
            seen,
        )

    def test_numbers_that_fire_converts_are_read_as_typed(self) -> None:
        file = self.file(NEW_ZONE)
        commands = self.commands(self.lines.append)
        arguments = ["apply", "-f", file, "--base-version", "0", "--order-id", "12", CORES]
        self.assertRaises(VersionConflictError, fire.Fire, commands, arguments)
        with contextlib.redirect_stdout(io.StringIO()):
            fire.Fire(commands, ["drain", "7", "--force", "--limit-s", "9", CORES])
        self.assertIn("Server/7", self.cores.view.rows.rows)

    def test_help_is_printed_instead_of_running_the_command(self) -> None:
        printed = io.StringIO()
        with contextlib.redirect_stdout(printed), contextlib.redirect_stderr(printed):
            self.assertEqual(0, run_operator_command(["drain", "s1", "--help"]))
        self.assertIn("finishes what it runs", printed.getvalue())

    def test_json_output_is_one_json_value(self) -> None:
        self.run_command("get", "models", "--output", "json", CORES)
        body = orjson.loads("\n".join(self.lines[1:-1]))
        self.assertEqual(["base-1", "base-2"], [item["name"] for item in body["resources"]])
