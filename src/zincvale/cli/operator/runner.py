"""Runs one operator command line: checks all of it, calls it through `fire`, returns its exit code.

`fire` calls a command before it looks at the remaining arguments, so that a mistyped flag would be
reported only after the change was made. Here every argument is checked first.
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
"""Exit code after an interrupt from the keyboard, as shells report SIGINT (128 + 2)."""

SHORT_FLAGS = {"f": "file", "o": "output", "c": "core"}
"""Flags with a fixed single-letter form; other flags are matched by their first letter."""
SWITCHES = ("undo", "wait", "force")
"""Flags that may be given without a value."""

_HELP = ("-h", "--help")
_SWITCH_VALUES = ("true", "false", "yes", "no")

CommandsByName = Mapping[str, Callable[..., Any]]


def run_operator_command(arguments: list[str], commands: CommandsByName | None = None) -> int:
    """Run a command line that begins with an operator command; return its exit code.

    Parameters
    ----------
    arguments : the command line without the program's name.
    commands : functions by name of command; those of `operator_commands` by default.
    """
    available = operator_commands() if commands is None else commands
    try:
        checked = check_arguments(normalize_arguments(arguments), available)
        fire.Fire(dict(available), command=checked, name="zincvale")
    except ZincvaleError as error:
        _print_error(error, as_json=_wants_json(arguments))
        return exit_code_of(error)
    except SystemExit as stop:
        return stop.code if isinstance(stop.code, int) else EXIT_OK
    except KeyboardInterrupt:
        return EXIT_INTERRUPTED
    return EXIT_OK


def check_arguments(arguments: list[str], commands: CommandsByName) -> list[str]:
    """Return the arguments in a form that `fire` cannot misread; raises `UsageError`.

    Flags are returned as `--name=value`, so that a switch never takes the next argument as its
    value. Values are quoted: `fire` would read a name such as `1.10` as a number.
    """
    if not arguments or arguments[0] in _HELP:
        return arguments
    command = arguments[0]
    if command not in commands:
        raise UsageError(f"unknown command {command!r}", _suggestion(command, list(commands)))
    if "--" in arguments or any(argument in _HELP for argument in arguments):
        return [command, "--help"]
    parameters = inspect.signature(commands[command]).parameters
    positional, flags = _split_arguments(command, arguments[1:], list(parameters))
    _assign_positionals(command, positional, flags, parameters)
    return [command, *[f"--{name}={value!r}" for name, value in flags.items()]]


def _assign_positionals(
    command: str,
    positional: list[str],
    flags: dict[str, str],
    parameters: Mapping[str, inspect.Parameter],
) -> None:
    """Assign the positional arguments, in order, to the parameters that no flag sets."""
    unassigned = [name for name in parameters if name not in flags]
    if len(positional) > len(unassigned):
        raise UsageError(
            f"{command}: too many arguments: {' '.join(positional)}",
            f"see zincvale {command} --help",
        )
    flags.update(zip(unassigned, positional, strict=False))
    for name, parameter in parameters.items():
        if parameter.default is inspect.Parameter.empty and name not in flags:
            raise UsageError(
                f"{command}: {name.upper()} is missing", f"see zincvale {command} --help"
            )


def _split_arguments(
    command: str, arguments: list[str], names: list[str]
) -> tuple[list[str], dict[str, str]]:
    positional: list[str] = []
    flags: dict[str, str] = {}
    remaining = list(arguments)
    while remaining:
        argument = remaining.pop(0)
        if not argument.startswith("-"):
            positional.append(argument)
            continue
        name, separator, value = argument.lstrip("-").partition("=")
        flag = _flag_name(command, argument, name, names)
        if not separator:
            value = _take_value(flag, argument, remaining)
        flags[flag] = value
    return positional, flags


def _flag_name(command: str, argument: str, name: str, names: list[str]) -> str:
    flag = name.replace("-", "_")
    if not argument.startswith("--"):
        flag = _name_of_short_flag(name, names)
    if flag in names:
        return flag
    shown = [f"--{candidate.replace('_', '-')}" for candidate in names]
    raise UsageError(f"{command}: unknown flag {argument!r}", _suggestion(argument, shown))


def _name_of_short_flag(letter: str, names: list[str]) -> str:
    if SHORT_FLAGS.get(letter) in names:
        return SHORT_FLAGS[letter]
    matching = [name for name in names if len(letter) == 1 and name.startswith(letter)]
    return matching[0] if len(matching) == 1 else ""


def _take_value(name: str, argument: str, remaining: list[str]) -> str:
    if name in SWITCHES:
        is_value = bool(remaining) and remaining[0].lower() in _SWITCH_VALUES
        return remaining.pop(0) if is_value else "True"
    if not remaining or remaining[0].startswith("--"):
        raise UsageError(f"{argument} has no value", f"write {argument} VALUE")
    return remaining.pop(0)


def _suggestion(text: str, known: list[str]) -> str:
    nearest = difflib.get_close_matches(text, known, n=1)
    return f"did you mean {nearest[0]}?" if nearest else f"use one of {', '.join(known)}"


def _wants_json(arguments: list[str]) -> bool:
    text = " ".join(arguments).replace("=", " ")
    return "--output json" in text or "-o json" in text


def _print_error(error: ZincvaleError, as_json: bool) -> None:
    if as_json:
        print(orjson.dumps(error.to_json()).decode(), file=sys.stderr)
    else:
        print(f"error: {error}", file=sys.stderr)
