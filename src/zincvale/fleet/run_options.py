"""The command-line options of a run."""

from __future__ import annotations

from pathlib import Path

import attrs

from zincvale.model.errors import InvalidInputError

DEPLOYMENTS = "deployments"


@attrs.frozen
class RunOptions:
    """Options of one run.

    Attributes
    ----------
    deployment : a folder, or the name of one under `deployments/`.
    load : a load file, or the name of one in the deployment.
    faults : a fault file, or the name of a built-in one; empty means none.
    seconds : how long new requests arrive; 0 takes the duration in the fault file.
    rate_factor : multiplies every caller's rate.
    caller_processes : how many processes share the callers.
    network : first two octets of the loopback addresses; empty takes the deployment's.
    report : the report's JSON file; an HTML page is written beside it. Empty writes none.
    keep_folder : the folder that keeps the run's files; empty means one removed at the end.
    """

    deployment: str
    load: str
    faults: str = ""
    seconds: float = 0.0
    seed: int = 1
    rate_factor: float = 1.0
    caller_processes: int = 1
    network: str = ""
    report: str = ""
    keep_folder: str = ""
    quiet: bool = False

    def check(self) -> None:
        """Raise `InvalidInputError` for an option out of range."""
        if self.seconds < 0:
            raise InvalidInputError(f"seconds is {self.seconds}", "give 0 or a positive number")
        if self.rate_factor <= 0:
            raise InvalidInputError(f"rate-factor is {self.rate_factor}", "give a positive number")
        if self.caller_processes < 1:
            raise InvalidInputError(
                f"caller-processes is {self.caller_processes}", "give at least 1"
            )


def find_deployment(reference: str) -> Path:
    """Return the folder of a deployment.

    A name is looked for in `deployments/` of the working directory, then beside the source tree.
    """
    source_tree = Path(__file__).resolve().parents[3]
    candidates = [Path(reference), Path(DEPLOYMENTS) / reference]
    candidates.append(source_tree / DEPLOYMENTS / reference)
    for candidate in candidates:
        if (candidate / "deployment.yaml").is_file():
            return candidate
    known = sorted(path.parent.name for path in Path(DEPLOYMENTS).glob("*/deployment.yaml"))
    raise InvalidInputError(
        f"no deployment {reference!r}",
        f"name a folder with a deployment.yaml, or one of: {', '.join(known) or 'none here'}",
    )
