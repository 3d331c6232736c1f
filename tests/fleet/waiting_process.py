"""A child process for tests: ends with the exit code in its argument, or waits for a signal."""

from __future__ import annotations

import signal
import sys

if __name__ == "__main__":
    if sys.argv[1:]:
        sys.exit(int(sys.argv[1]))
    signal.pause()
