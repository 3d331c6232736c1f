"""Starts a daemon from a checkout: the sources lie beside this folder."""

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "src"))

from zincvale.platform.main import main  # noqa: E402

sys.exit(main(sys.argv[1:]))
