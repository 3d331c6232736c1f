"""Every `zincvale` command shown in the documentation exists and takes the flags shown."""

from __future__ import annotations

import inspect
import re
import shlex
from pathlib import Path

import testtools

from zincvale.cli.main import OPERATOR_COMMANDS, Zincvale
from zincvale.cli.operator.arguments import normalize_arguments
from zincvale.cli.operator.commands import operator_commands
from zincvale.cli.operator.runner import check_arguments

ROOT = Path(__file__).resolve().parents[2]
COMMAND = re.compile(r"^ {4,}(?:\.venv/bin/)?zincvale (.+)$", re.MULTILINE)


def shown_commands() -> list[tuple[str, str]]:
    """Return the page and the command line of each command in an indented code block."""
    pages = [ROOT / "README.md", *sorted((ROOT / "docs").rglob("*.md"))]
    found = []
    for page in pages:
        for line in COMMAND.findall(page.read_text(encoding="utf-8")):
            command = line.split("  ")[0].split(" | ")[0].split(" #")[0].strip()
            found.append((page.name, command))
    return found


class ShownCommandsTest(testtools.TestCase):
    def test_each_shown_command_and_flag_exists(self) -> None:
        commands = shown_commands()
        self.assertTrue(len(commands) > 20, "too few commands were found in the pages")
        for page, command in commands:
            with self.subTest(page=page, command=command):
                self._check_command(shlex.split(command))

    def _check_command(self, arguments: list[str]) -> None:
        if arguments[0] in OPERATOR_COMMANDS:
            check_arguments(normalize_arguments(arguments), operator_commands())
            return
        target: object = Zincvale()
        while arguments and not arguments[0].startswith("-"):
            name = arguments[0].replace("-", "_")
            if not hasattr(target, name):
                break
            target = getattr(target, name)
            arguments = arguments[1:]
        self.assertTrue(callable(target) or inspect.isroutine(target), f"no command {target}")
        known = inspect.signature(target).parameters  # type: ignore[arg-type]
        takes_any = any(each.kind is each.VAR_KEYWORD for each in known.values())
        for argument in arguments:
            if not argument.startswith("-") or takes_any:
                continue
            name = argument.split("=")[0].lstrip("-").replace("-", "_")
            self.assertIn(name, known, f"no flag {argument}")
