"""Starts a daemon from a checkout: the sources lie beside this folder."""

import gc
import sys
from pathlib import Path

# Nearly all that the imports make lives as long as the process: looking for cycles in it takes a
# quarter of a start. The daemon turns the collector on again when it begins to serve.
gc.disable()

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "src"))

from zincvale.platform.main import main  # noqa: E402

sys.exit(main(sys.argv[1:]))
