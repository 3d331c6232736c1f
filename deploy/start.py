"""Starts a daemon from a source checkout, with the sources in `src` beside this folder."""

from _signal import SIG_BLOCK, SIGHUP, pthread_sigmask

# The start takes a second or more, and SIGHUP would end the process meanwhile. It stays pending
# until the daemon has set its handler. The module `signal` alone would take a third of the time
# that passes before this line.
pthread_sigmask(SIG_BLOCK, {SIGHUP})

import gc  # noqa: E402
import sys  # noqa: E402
from pathlib import Path  # noqa: E402

# Nearly all objects that the imports create live as long as the process, and collecting garbage
# among them takes a quarter of the start. The daemon enables the collector before it serves.
gc.disable()

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "src"))

from zincvale.platform.main import main  # noqa: E402

sys.exit(main(sys.argv[1:]))
