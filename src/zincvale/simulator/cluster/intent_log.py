"""The value that simulated operators change: every version lists the orders that produced it.

An order is a numbered change request. Row `log` contains the numbers of all applied orders, at a
fixed width, so that any replica of the value holds the complete history that led to it. The other
rows are put and deleted like rows of an intent.
"""

from __future__ import annotations

import struct

import orjson
from returns.result import Failure, Result, Success

from zincvale.coordination.changes import ChangeRefused, RowChange, Rows

LOG_ROW = "log"
"""Key of the row that lists the applied orders."""
_ORDER_NUMBER = struct.Struct(">I")


def change_body(order: int, puts: dict[str, str | None], is_invalid: bool = False) -> bytes:
    """Encode a change; the text `None` deletes a row, and the reducer refuses an invalid change."""
    return orjson.dumps({"order": order, "puts": puts, "bad": is_invalid})


def reduce_intent_log(rows: Rows, change: bytes) -> Result[list[RowChange], ChangeRefused]:
    """Return the row changes of an order, including its entry in the log."""
    decoded = orjson.loads(change)
    if decoded["bad"]:
        return Failure(ChangeRefused("the change is bad", "make it good"))
    log = rows.get(LOG_ROW, b"") + _ORDER_NUMBER.pack(decoded["order"])
    puts = [
        RowChange(row, None if text is None else text.encode())
        for row, text in decoded["puts"].items()
    ]
    return Success([*puts, RowChange(LOG_ROW, log)])


def applied_orders(rows: Rows) -> list[int]:
    """Return the numbers of the orders that were applied to a value, oldest first."""
    return [number for (number,) in _ORDER_NUMBER.iter_unpack(rows.get(LOG_ROW, b""))]
