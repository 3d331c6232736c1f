"""The clocks of a daemon: the only place that reads them."""

from __future__ import annotations

import functools
import time

suspend_aware_now = functools.partial(time.clock_gettime, time.CLOCK_BOOTTIME)
"""Returns seconds on the monotonic clock that counts suspension; without a Python frame, since
tracing reads it several times a request."""

wall_now = time.time
"""Returns seconds since the epoch, for records that people read."""
