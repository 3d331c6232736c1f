"""The clocks of a daemon; no other module reads the system clocks."""

from __future__ import annotations

import functools
import time

suspend_aware_now = functools.partial(time.clock_gettime, time.CLOCK_BOOTTIME)
"""Returns seconds on the monotonic clock that includes suspension. It is a partial and not a Python
function because tracing reads it several times per request."""

wall_now = time.time
"""Returns seconds since the Unix epoch, for records that people read."""
