"""The value that simulated operators change: every version carries the list of its orders.

Row `log` lists the orders that were applied, in fixed-width numbers, so that any replica of the
value contains the complete history that led to it. Other rows are put and deleted as intents are.
"""

from __future__ import annotations

import struct

import orjson
from returns.result import Failure, Result, Success

from zincvale.coordination.changes import ChangeRefused, RowChange, Rows

LOG_ROW = "log"
_ENTRY = struct.Struct(">I")


def change_body(order: int, puts: dict[str, str | None], is_bad: bool = False) -> bytes:
    """Return a change; `None` deletes a row, a bad change is refused by the reducer."""
    return orjson.dumps({"order": order, "puts": puts, "bad": is_bad})


def reduce_intent_log(rows: Rows, change: bytes) -> Result[list[RowChange], ChangeRefused]:
    """Apply a change and append its order to the log."""
    plain = orjson.loads(change)
    if plain["bad"]:
        return Failure(ChangeRefused("the change is bad", "make it good"))
    log = rows.get(LOG_ROW, b"") + _ENTRY.pack(plain["order"])
    puts = [
        RowChange(row, None if text is None else text.encode())
        for row, text in plain["puts"].items()
    ]
    return Success([*puts, RowChange(LOG_ROW, log)])


def orders_in(rows: Rows) -> list[int]:
    """Return the orders that led to a value, the first one first."""
    return [number for (number,) in _ENTRY.iter_unpack(rows.get(LOG_ROW, b""))]
