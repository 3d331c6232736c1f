"""Starts and stops three real cores and the processes of hollow nodes for the capacity run."""

from __future__ import annotations

import json
import os
import shutil
import signal
import subprocess
import sys
import tempfile
import time
import urllib.error
import urllib.request
from pathlib import Path
from typing import Any

import attrs
import yaml

CLUSTER_ID = "capacity"
CORE_HOSTS = ("127.0.7.1", "127.0.7.2", "127.0.7.3")
API_PORT = 8000
PEER_PORT = 9000
NODES_PER_PROCESS = 250
"""Most hollow nodes in one process."""
START_LIMIT_S = 20.0
"""Default limit of `wait_until`, as for the start of the cores."""
POLL_INTERVAL_S = 0.05
"""Interval at which `wait_until` checks its condition."""
STOP_TIMEOUT_S = 5.0
CHANGE_TIMEOUT_S = 15.0
"""Time after which a change counts as unconfirmed."""


@attrs.frozen
class ProcessUsage:
    """Processor time and memory of one process."""

    cpu_s: float
    rss_bytes: int


@attrs.define
class HollowCluster:
    """The core processes and the processes of hollow nodes of one run."""

    folder: Path = attrs.field(factory=lambda: Path(tempfile.mkdtemp(prefix="zincvale-capacity-")))
    cores: dict[str, subprocess.Popen[bytes]] = attrs.field(factory=dict)
    hollow_processes: list[subprocess.Popen[str]] = attrs.field(factory=list)
    node_count: int = 0

    def start_cores(self) -> None:
        """Create the cluster and wait until it accepts changes."""
        for host in CORE_HOSTS:
            self._write_settings(host)
        for host in CORE_HOSTS:
            self.start_core(host, bootstrap=True)
        self.wait_until(lambda: self.change({"kind": "Zone", "name": "zone-a", "spec": {}}) >= 0)

    def start_core(self, host: str, bootstrap: bool = False) -> None:
        """Start one core process."""
        command = [sys.executable, "-m", "zincvale.cli.main", "core"]
        command += ["--settings", str(self._settings_path(host))]
        if bootstrap:
            command.append("--bootstrap")
        with open(self.folder / f"{host}.out", "ab") as output:
            self.cores[host] = subprocess.Popen(command, stdout=output, stderr=output)

    def stop_core(self, host: str) -> None:
        """Kill one core process."""
        process = self.cores.pop(host)
        process.kill()
        process.wait(STOP_TIMEOUT_S)

    def add_nodes(self, count: int) -> None:
        """Start hollow nodes until there are `count`."""
        while self.node_count < count:
            size = min(NODES_PER_PROCESS, count - self.node_count)
            command = [sys.executable, "-m", "zincvale.bench.hollow_process"]
            command += [str(self.node_count), str(size), CLUSTER_ID, *self._seeds()]
            self.hollow_processes.append(
                subprocess.Popen(command, stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True)
            )
            self.node_count += size

    def statuses(self) -> list[dict[str, Any]]:
        """Return the status of each process of hollow nodes."""
        for process in self.hollow_processes:
            assert process.stdin is not None
            process.stdin.write("status\n")
            process.stdin.flush()
        statuses = []
        for process in self.hollow_processes:
            assert process.stdout is not None
            statuses.append(json.loads(process.stdout.readline()))
        return statuses

    def ready_count(self) -> int:
        """Return how many hollow nodes are ready."""
        return sum(status["ready"] for status in self.statuses())

    def wait_until(self, condition: Any, limit_s: float = START_LIMIT_S) -> float:
        """Return the seconds until `condition()` was true; raises `TimeoutError`."""
        begin = time.perf_counter()
        while time.perf_counter() - begin < limit_s:
            if condition():
                return time.perf_counter() - begin
            time.sleep(POLL_INTERVAL_S)
        raise TimeoutError(f"not reached within {limit_s} s")

    def change(self, *resources: dict[str, Any], host: str = CORE_HOSTS[0]) -> float:
        """Apply a change; return the seconds until it was in force, or -1 without confirmation."""
        body = {"baseVersion": None, "mode": "merge", "resources": list(resources)}
        request = urllib.request.Request(
            f"http://{host}:{API_PORT}/v1/intent",
            data=json.dumps(body).encode(),
            headers={"Idempotency-Key": f"bench-{time.time_ns()}"},
        )
        begin = time.perf_counter()
        try:
            with urllib.request.urlopen(request, timeout=CHANGE_TIMEOUT_S) as response:
                response.read()
        except (urllib.error.URLError, OSError):
            return -1.0
        return time.perf_counter() - begin

    def usage(self, process: subprocess.Popen[Any]) -> ProcessUsage:
        """Return the processor time and memory that a process has used so far."""
        stat = Path(f"/proc/{process.pid}/stat").read_text(encoding="ascii")
        fields = stat.rpartition(")")[2].split()
        cpu_s = (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")
        return ProcessUsage(cpu_s, int(fields[21]) * os.sysconf("SC_PAGE_SIZE"))

    def suspend_nodes(self) -> None:
        """Suspend every process of hollow nodes with SIGSTOP."""
        for process in self.hollow_processes:
            process.send_signal(signal.SIGSTOP)

    def resume_nodes(self) -> None:
        """Resume every process of hollow nodes."""
        for process in self.hollow_processes:
            process.send_signal(signal.SIGCONT)

    def close(self) -> None:
        """Kill every process and remove the folder."""
        processes: list[subprocess.Popen[Any]] = [*self.hollow_processes, *self.cores.values()]
        for process in processes:
            process.send_signal(signal.SIGCONT)
            process.kill()
            process.wait(STOP_TIMEOUT_S)
        shutil.rmtree(self.folder, ignore_errors=True)

    def _seeds(self) -> list[str]:
        return [f"{host}:{PEER_PORT}" for host in CORE_HOSTS]

    def _settings_path(self, host: str) -> Path:
        return self.folder / f"{host}.yaml"

    def _write_settings(self, host: str) -> None:
        cores = [
            {
                "member_id": f"core-{number}",
                "api_address": f"{core_host}:{API_PORT}",
                "peer_address": f"{core_host}:{PEER_PORT}",
                "zone": f"zone-{number}",
            }
            for number, core_host in enumerate(CORE_HOSTS)
        ]
        own = cores[CORE_HOSTS.index(host)]
        settings = {
            "cluster_id": CLUSTER_ID,
            "role": "core",
            "seeds": self._seeds(),
            "data_folder": str(self.folder / f"data-{host}"),
            "bootstrap_cores": cores,
            "log_file": str(self.folder / f"{host}.log"),
            **own,
        }
        self._settings_path(host).write_text(yaml.safe_dump(settings), encoding="utf-8")
