"""Parses the command line arguments of the operator commands.

`run_operator_command` passes every argument as text. When `fire` calls a command directly, it
converts text that looks like a number, a boolean or a tuple; `read_text` converts it back.
"""

from __future__ import annotations

import ipaddress
import re
from collections.abc import Mapping

from zincvale.cli.operator.errors import UsageError

CORES_VARIABLE = "ZINCVALE_CORES"
"""Environment variable with the addresses of cores, for commands without `--core`."""
STANDARD_INPUT = "/dev/stdin"
"""Path that replaces `-` as the name of a file."""
MAX_PORT = 65_535

_OUTPUTS = ("table", "json", "yaml")
_ORDER_ID = re.compile(r"[A-Za-z0-9._:-]{1,128}")


def normalize_arguments(arguments: list[str]) -> list[str]:
    """Replace a lone `-` by the path of standard input: `fire` would take it as a separator."""
    return [STANDARD_INPUT if argument == "-" else argument for argument in arguments]


def read_text(value: object) -> str:
    """Return an argument as text; a list that `fire` split at commas is joined again."""
    if isinstance(value, list | tuple):
        return ",".join(str(part) for part in value)
    return str(value)


def read_cores(text: str, environment: Mapping[str, str]) -> list[str]:
    """Return the addresses in `--core` or, without it, in `ZINCVALE_CORES`."""
    text = read_text(text)
    source = "--core" if text else CORES_VARIABLE
    listed = text or environment.get(CORES_VARIABLE, "")
    cores = [part.strip() for part in listed.split(",") if part.strip()]
    if not cores:
        raise UsageError(
            "no core is named", f"pass --core ip:port[,ip:port], or set {CORES_VARIABLE}"
        )
    for core in cores:
        _check_address(core, source)
    return cores


def read_flag(text: str, name: str) -> bool:
    """Return a boolean flag; `--name` without a value is passed as `True`."""
    text = read_text(text)
    lowered = text.lower()
    if lowered in ("true", "yes", "1"):
        return True
    if lowered in ("false", "no", "0", ""):
        return False
    raise UsageError(f"--{name} is {text!r}", f"write --{name} without a value")


def read_count(text: str, name: str) -> int | None:
    """Return a whole number, or None when the argument was not given."""
    text = read_text(text)
    if not text:
        return None
    if not text.isascii() or not text.isdigit() or len(text) > 18:
        raise UsageError(f"--{name} is {text!r}", "write a whole number")
    return int(text)


def read_seconds(text: str, name: str) -> float:
    """Return a number of seconds, greater than 0 and at most a day."""
    text = read_text(text)
    try:
        seconds = float(text)
    except ValueError:
        seconds = float("nan")
    if not 0 < seconds <= 86_400:
        raise UsageError(f"--{name} is {text!r}", "write seconds, more than 0, at most a day")
    return seconds


def read_output(text: str) -> str:
    """Return the output format: table, json or yaml."""
    text = read_text(text)
    if text not in _OUTPUTS:
        raise UsageError(f"--output is {text!r}", f"write one of {', '.join(_OUTPUTS)}")
    return text


def read_mode(text: str) -> str:
    """Return the mode of a change: merge or replace."""
    text = read_text(text)
    if text not in ("merge", "replace"):
        raise UsageError(f"--mode is {text!r}", "write merge or replace")
    return text


def read_order_id(text: str) -> str:
    """Return a valid order id, or an empty text when none was given."""
    text = read_text(text)
    if text and not _ORDER_ID.fullmatch(text):
        raise UsageError(
            f"--order-id is {text[:128]!r}", "use 1 to 128 letters, digits and any of . _ : -"
        )
    return text


def _check_address(address: str, source: str) -> None:
    host, _, port = address.rpartition(":")
    try:
        ipaddress.ip_address(host.strip("[]"))
        valid = 0 < int(port) <= MAX_PORT
    except ValueError:
        valid = False
    if not valid:
        raise UsageError(
            f"{source}: {address!r} is not `ip:port`", "write an IP address and a port"
        )
