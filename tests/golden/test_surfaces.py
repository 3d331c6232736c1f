"""Interfaces that operators and their programs use: help, exit codes, metrics, settings, errors."""

from __future__ import annotations

import contextlib
import inspect
import io
import os
import random
import sys
import tempfile
from collections.abc import Callable
from pathlib import Path
from typing import Any
from unittest import mock

import orjson
import testtools
from prometheus_client import generate_latest
from testtools.matchers import Equals

from tests import approval
from tests.golden.every_module import import_every_module, is_own
from tests.golden.golden_file import FOLDER, golden
from zincvale.cli import main as cli_main
from zincvale.cli.operator.errors import exit_code_of
from zincvale.dataplane.metrics import Metrics
from zincvale.dataplane.policies.registry import DEFAULT_SCORERS, policy_names
from zincvale.model.errors import InvalidInputError, ZincvaleError
from zincvale.model.identifiers import MemberId, RouteName
from zincvale.model.log_events import declared_events
from zincvale.model.outcomes import Outcome
from zincvale.runtime.settings import load_settings
from zincvale.standins import main as standins_main
from zincvale.tracing.metrics import register_metrics
from zincvale.tracing.service import TracingService

APPROVED = FOLDER / "approved"
SETTINGS = FOLDER / "settings"
NUMBERS = "log_event_numbers.json"
ERRORS = "error_codes.json"
POLICIES = "policy_names.json"


def run_program(program: Callable[[], Any], *arguments: str) -> str:
    """Run a program's `main`; return its command line, output and exit code as text."""
    out, err = io.StringIO(), io.StringIO()
    code: Any = 0
    with (
        mock.patch.object(sys, "argv", ["program", *arguments]),
        mock.patch.dict(os.environ, {"PAGER": "cat"}),
        contextlib.redirect_stdout(out),
        contextlib.redirect_stderr(err),
    ):
        try:
            program()
        except SystemExit as stop:
            code = stop.code or 0
    parts = [f"$ {' '.join(arguments)}", out.getvalue(), err.getvalue(), f"exit {code}", ""]
    return "\n".join(part.rstrip() for part in parts if part.strip()) + "\n"


def commands_of(group: Any) -> list[str]:
    """Return the names of the commands in a group."""
    names = [name for name in dir(group) if not name.startswith("_")]
    return [name for name in names if inspect.isroutine(getattr(group, name))]


def groups_of(program: Any) -> list[str]:
    """Return the names of a program's groups of commands."""
    members = inspect.getmembers(type(program), lambda each: isinstance(each, property))
    return sorted(name for name, _ in members)


class HelpTest(testtools.TestCase):
    def verify(self, name: str, *parts: str) -> None:
        approval.verify(self, APPROVED, name, "\n".join(parts))

    def test_help_of_the_program_and_of_operators(self) -> None:
        lines = [("--help",), (), *((name, "--help") for name in cli_main.OPERATOR_COMMANDS)]
        self.verify("help_operators", *(run_program(cli_main.main, *each) for each in lines))

    def test_help_of_the_daemons(self) -> None:
        names = ("core", "node")
        self.verify("help_daemons", *(run_program(cli_main.main, name, "--help") for name in names))

    def test_help_of_the_tools(self) -> None:
        program = cli_main.Zincvale()
        parts = []
        for group in groups_of(program):
            parts.append(run_program(cli_main.main, group, "--help"))
            for command in commands_of(getattr(program, group)):
                parts.append(run_program(cli_main.main, group, command, "--help"))
        self.verify("help_tools", *parts)

    def test_help_of_the_stand_ins(self) -> None:
        parts = [run_program(standins_main.main, "--help")]
        for command in commands_of(standins_main.StandIns()):
            parts.append(run_program(standins_main.main, command, "--help"))
        self.verify("help_stand_ins", *parts)

    def test_texts_and_exit_codes_of_wrong_usage_are_as_approved(self) -> None:
        lines = [
            ("no-such-command",),
            ("get",),
            ("get", "servers", "--no-such-flag", "1"),
            ("get", "no-such-kind", "--core", "127.0.0.1:1"),
            ("apply", "--file", "no-such-file.yaml", "--core", "127.0.0.1:1"),
            ("apply", "--file", "no-such-file.yaml", "--output", "json", "--core", "127.0.0.1:1"),
            ("drain",),
            ("core",),
            ("core", "--settings", "no-such-file.yaml"),
            ("node", "--settings", "no-such-file.yaml"),
            ("trace", "find", "--since", "soon"),
            ("fleet", "run", "--deployment", "no-such-deployment"),
        ]
        self.verify("wrong_usage", *(run_program(cli_main.main, *each) for each in lines))


class MetricsTest(testtools.TestCase):
    def test_names_labels_and_help_of_node_metrics_are_as_approved(self) -> None:
        metrics = Metrics()
        service = TracingService(
            MemberId("node-1"), random.Random(1), lambda: 0.0, lambda: 0.0, lambda to, message: None
        )
        service.replicator.stats.retained_by_policy["a-policy"] = 1
        register_metrics(service, metrics.registry)
        route = RouteName("a-route")
        for outcome in Outcome:
            metrics.record_finished(route, outcome, "", 0.5)
        metrics.record_first_piece(route, 0.5)
        metrics.record_retry(route)
        metrics.record_ejection("a-server")
        lines = generate_latest(metrics.registry).decode().splitlines()
        shown = [line if line[0] == "#" else line.rpartition(" ")[0] for line in lines]
        approval.verify(self, APPROVED, "metrics", "\n".join(shown))


class NumbersTest(testtools.TestCase):
    def test_numbers_of_log_events_match_the_golden_file(self) -> None:
        import_every_module()
        numbers = [event.number for event in declared_events()]
        self.assertThat(numbers, Equals(golden(NUMBERS, numbers)))

    def test_kinds_statuses_and_exit_codes_of_errors_match_the_golden_file(self) -> None:
        import_every_module()
        current = sorted(_error_codes(kind) for kind in _error_types())
        self.assertThat(current, Equals(golden(ERRORS, current)))

    def test_names_of_policies_match_the_golden_file(self) -> None:
        defaults = {kind.value: list(names) for kind, names in DEFAULT_SCORERS.items()}
        current = {"known": policy_names(), "default": defaults}
        self.assertThat(current, Equals(golden(POLICIES, current)))


class SettingsTest(testtools.TestCase):
    """Settings files in `settings/`; all defaults are compared in `declared_types.json`."""

    def test_settings_files_are_read_or_refused_as_approved(self) -> None:
        parts = [_read_settings(path) for path in sorted(SETTINGS.glob("*.yaml"))]
        approval.verify(self, APPROVED, "settings", "\n".join(parts))


def _error_types() -> list[type[ZincvaleError]]:
    found: list[type[ZincvaleError]] = []
    waiting: list[type[ZincvaleError]] = [ZincvaleError]
    while waiting:
        kind = waiting.pop()
        found.append(kind)
        waiting.extend(each for each in kind.__subclasses__() if is_own(each) and _is_named(each))
    return list(dict.fromkeys(found))


def _is_named(kind: type) -> bool:
    """Return whether the class is the one that its module defines under its name.

    `attrs` replaces a class by a new one with slots; the old one remains among the subclasses until
    the garbage collector has run.
    """
    return getattr(sys.modules[kind.__module__], kind.__name__, None) is kind


def _error_codes(kind: type[ZincvaleError]) -> list[Any]:
    error = kind("a problem", "a remedy")
    return [
        kind.kind,
        kind.http_status,
        exit_code_of(error),
        orjson.dumps(error.to_json()).decode(),
    ]


def _read_settings(path: Path) -> str:
    """Return the settings in a file as JSON, or the error, without the name of the folder."""
    with tempfile.TemporaryDirectory() as holder, contextlib.chdir(holder):
        Path(path.name).write_bytes(path.read_bytes())
        try:
            settings = load_settings(path.name).to_dict()
        except InvalidInputError as error:
            return f"{path.name}: {error}"
        return f"{path.name}: {orjson.dumps(settings).decode()}"
