"""Runs one operator command line: checks it whole, lets `fire` call it, tells how it ended.

`fire` calls a command before it looks at the arguments that are left, so that a mistyped flag
would be reported after the change was made. Here every argument is checked first.
"""

from __future__ import annotations

import difflib
import inspect
import sys
from collections.abc import Callable, Mapping
from typing import Any

import fire
import orjson

from zincvale.cli.operator.arguments import normalize_arguments
from zincvale.cli.operator.commands import operator_commands
from zincvale.cli.operator.errors import EXIT_OK, UsageError, exit_code_of
from zincvale.model.errors import ZincvaleError

EXIT_INTERRUPTED = 130

SHORT_FLAGS = {"f": "file", "o": "output", "c": "core"}
SWITCHES = ("undo", "wait", "force")
"""Flags without a value."""

_HELP = ("-h", "--help")
_SWITCH_VALUES = ("true", "false", "yes", "no")

Commands = Mapping[str, Callable[..., Any]]


def run_operator_command(arguments: list[str], commands: Commands | None = None) -> int:
    """Run a command line that begins with an operator command; return its exit code.

    Parameters
    ----------
    arguments : the command line without the program's name.
    commands : functions by command; those of `operator_commands` by default.
    """
    known = operator_commands() if commands is None else commands
    try:
        checked = check_arguments(normalize_arguments(arguments), known)
        fire.Fire(dict(known), command=checked, name="zincvale")
    except ZincvaleError as error:
        _complain(error, as_json=_wants_json(arguments))
        return exit_code_of(error)
    except SystemExit as stop:
        return stop.code if isinstance(stop.code, int) else EXIT_OK
    except KeyboardInterrupt:
        return EXIT_INTERRUPTED
    return EXIT_OK


def check_arguments(arguments: list[str], commands: Commands) -> list[str]:
    """Return the arguments as `fire` takes them without doubt; raises `UsageError`.

    Flags come out as `--name=value`, so that a switch never swallows the argument behind it, and
    values as quoted text: `fire` would read a name such as `1.10` as a number.
    """
    if not arguments or arguments[0] in _HELP:
        return arguments
    command = arguments[0]
    if command not in commands:
        raise UsageError(f"unknown command {command!r}", _nearest(command, list(commands)))
    if "--" in arguments or any(argument in _HELP for argument in arguments):
        return [command, "--help"]
    parameters = inspect.signature(commands[command]).parameters
    positional, flags = _split(command, arguments[1:], list(parameters))
    _assign(command, positional, flags, parameters)
    return [command, *[f"--{name}={value!r}" for name, value in flags.items()]]


def _assign(
    command: str,
    positional: list[str],
    flags: dict[str, str],
    parameters: Mapping[str, inspect.Parameter],
) -> None:
    """Give the positional arguments to the parameters that no flag names, in order."""
    free = [name for name in parameters if name not in flags]
    if len(positional) > len(free):
        raise UsageError(
            f"{command}: too many arguments: {' '.join(positional)}",
            f"see zincvale {command} --help",
        )
    flags.update(zip(free, positional, strict=False))
    for name, parameter in parameters.items():
        if parameter.default is inspect.Parameter.empty and name not in flags:
            raise UsageError(
                f"{command}: {name.upper()} is missing", f"see zincvale {command} --help"
            )


def _split(
    command: str, arguments: list[str], names: list[str]
) -> tuple[list[str], dict[str, str]]:
    positional: list[str] = []
    flags: dict[str, str] = {}
    waiting = list(arguments)
    while waiting:
        argument = waiting.pop(0)
        if not argument.startswith("-"):
            positional.append(argument)
            continue
        name, separator, value = argument.lstrip("-").partition("=")
        known = _flag_name(command, argument, name, names)
        if not separator:
            value = _value_behind(known, argument, waiting)
        flags[known] = value
    return positional, flags


def _flag_name(command: str, argument: str, name: str, names: list[str]) -> str:
    known = name.replace("-", "_")
    if not argument.startswith("--"):
        known = _long_name(name, names)
    if known in names:
        return known
    shown = [f"--{candidate.replace('_', '-')}" for candidate in names]
    raise UsageError(f"{command}: unknown flag {argument!r}", _nearest(argument, shown))


def _long_name(letter: str, names: list[str]) -> str:
    if SHORT_FLAGS.get(letter) in names:
        return SHORT_FLAGS[letter]
    matching = [name for name in names if len(letter) == 1 and name.startswith(letter)]
    return matching[0] if len(matching) == 1 else ""


def _value_behind(name: str, argument: str, waiting: list[str]) -> str:
    if name in SWITCHES:
        is_value = bool(waiting) and waiting[0].lower() in _SWITCH_VALUES
        return waiting.pop(0) if is_value else "True"
    if not waiting or waiting[0].startswith("--"):
        raise UsageError(f"{argument} has no value", f"write {argument} VALUE")
    return waiting.pop(0)


def _nearest(text: str, known: list[str]) -> str:
    nearest = difflib.get_close_matches(text, known, n=1)
    return f"did you mean {nearest[0]}?" if nearest else f"use one of {', '.join(known)}"


def _wants_json(arguments: list[str]) -> bool:
    text = " ".join(arguments).replace("=", " ")
    return "--output json" in text or "-o json" in text


def _complain(error: ZincvaleError, as_json: bool) -> None:
    if as_json:
        print(orjson.dumps(error.to_json()).decode(), file=sys.stderr)
    else:
        print(f"error: {error}", file=sys.stderr)
