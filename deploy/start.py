"""Starts a daemon from a source checkout, with the sources in `src` beside this folder."""

import gc
import sys
from pathlib import Path

# Nearly all objects that the imports create live as long as the process, and collecting garbage
# among them takes a quarter of the start. The daemon enables the collector before it serves.
gc.disable()

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "src"))

from zincvale.platform.main import main  # noqa: E402

sys.exit(main(sys.argv[1:]))
