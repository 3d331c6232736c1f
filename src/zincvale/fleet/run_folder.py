"""The folder with the files of one run."""

from __future__ import annotations

import shutil
import tempfile
from pathlib import Path

import attrs

from zincvale.fleet.run_options import RunOptions
from zincvale.model.errors import StartupError


@attrs.frozen
class RunFolder:
    """The files and folders of one run under `root`."""

    root: Path

    @property
    def settings(self) -> Path:
        """The folder of the settings files, one per process."""
        return self.root / "settings"

    @property
    def journals(self) -> Path:
        """The folder of the journals that the checks read, one file per process."""
        return self.root / "journals"

    @property
    def logs(self) -> Path:
        """The folder of the processes' output and the daemons' structured logs."""
        return self.root / "logs"

    def data(self, member: str) -> Path:
        """The data folder of a core."""
        return self.root / "data" / member

    def quota(self, member: str) -> Path:
        """The file with the number of bytes that a core's data folder may still grow by."""
        return self.root / "quota" / member

    def settings_file(self, process: str) -> Path:
        """The settings file of a process."""
        return self.settings / f"{process}.yaml"

    def create(self) -> None:
        """Create the folders; the data folder of a core is created when the core starts."""
        for folder in (self.settings, self.journals, self.logs, self.root / "quota"):
            folder.mkdir(parents=True, exist_ok=True)


def make_run_folder(options: RunOptions) -> Path:
    """Return the folder of a run; raises `StartupError` when the requested one is in use."""
    if not options.keep_folder:
        return Path(tempfile.mkdtemp(prefix="zincvale-fleet-"))
    root = Path(options.keep_folder).absolute()
    if root.exists() and any(root.iterdir()):
        raise StartupError(f"folder {root} is not empty", "name a new or empty folder")
    root.mkdir(parents=True, exist_ok=True)
    return root


def remove_run_folder(options: RunOptions, root: Path) -> None:
    """Remove the run's files unless the options keep them."""
    if not options.keep_folder:
        shutil.rmtree(root, ignore_errors=True)
