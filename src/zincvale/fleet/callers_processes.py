"""The processes that run the callers, which send the load of a run."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import attrs
import orjson
import yaml

from zincvale.fleet.machines import Fleet
from zincvale.fleet.run_folder import RunFolder
from zincvale.fleet.run_inputs import RunInputs
from zincvale.standins.settings import CallersSettings, save_settings

LOAD_FILE = "load.yaml"


@attrs.define
class CallersProcesses:
    """Starts the callers' processes, and tracks which still run and where their summaries are."""

    inputs: RunInputs
    folder: RunFolder
    fleet: Fleet
    summaries: list[Path] = attrs.field(factory=list)
    _names: list[str] = attrs.field(factory=list)

    def start(self) -> None:
        """Start every process of callers, which begin to send requests immediately."""
        load = self.folder.root / LOAD_FILE
        plain = self.inputs.load.to_dict()
        load.write_text(yaml.safe_dump(plain, sort_keys=False), encoding="utf-8")
        for index in range(self.inputs.options.caller_processes):
            self._start(f"callers-{index + 1}", index, load)

    def running(self) -> list[str]:
        """Return the names of the callers' processes that have not ended."""
        processes = [self.fleet.table.get(name) for name in self._names]
        return [process.name for process in processes if process and process.is_running]

    def figures(self) -> list[Any]:
        """Return the summaries of the processes that wrote one."""
        written = [path for path in self.summaries if path.is_file()]
        return [orjson.loads(path.read_bytes()) for path in written]

    def _start(self, name: str, index: int, load: Path) -> None:
        options = self.inputs.options
        summary = self.folder.root / f"{name}-summary.json"
        settings = CallersSettings(
            deployment=str(self.inputs.folder),
            load=str(load),
            platform_address=self.inputs.deployment.platform_address(),
            journal=str(self.folder.journals / f"{name}.jsonl"),
            summary=str(summary),
            seconds=options.seconds,
            seed=options.seed,
            share_index=index,
            share_count=options.caller_processes,
            rate_factor=options.rate_factor,
        )
        path = self.folder.settings_file(name)
        save_settings(settings, path)
        self.fleet.start_callers(name, path)
        self._names.append(name)
        self.summaries.append(summary)
