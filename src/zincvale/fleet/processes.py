"""Starts, signals and ends the rig's child processes, and no others, by their process ids.

Every child leads a process group of its own and is killed by the kernel when the rig ends. It
carries the run's mark in its environment, so that a process that is left over from the run can be
distinguished from other processes on the machine.
"""

from __future__ import annotations

import ctypes
import os
import signal
import subprocess
import sys
import time
from collections.abc import Callable, Iterable
from pathlib import Path

import attrs
import psutil

RUN_MARK = "ZINCVALE_FLEET_RUN"
PR_SET_PDEATHSIG = 1
TERMINATION_GRACE_S = 4.0
KILL_GRACE_S = 3.0
POLL_S = 0.02
LOG_TAIL_BYTES = 2_000

_LIBC = ctypes.CDLL(None)


@attrs.frozen
class Command:
    """The command line of a process: `python -m MODULE ARGUMENTS`."""

    name: str
    module: str
    arguments: tuple[str, ...] = ()


@attrs.define
class ManagedProcess:
    """One child process, which may have ended."""

    command: Command
    popen: subprocess.Popen[bytes]
    log_path: Path
    frozen: bool = False
    ended_by_rig: bool = False

    @property
    def name(self) -> str:
        """The name of the process in reports and fault files."""
        return self.command.name

    @property
    def is_running(self) -> bool:
        """Whether the process has not ended; a frozen process counts as running."""
        return self.popen.poll() is None

    def log_tail(self) -> str:
        """Return the last part of the process's output."""
        try:
            text = self.log_path.read_bytes()
        except OSError:
            return ""
        return text[-LOG_TAIL_BYTES:].decode("utf-8", "replace").strip()


@attrs.frozen
class Usage:
    """The processor time of one process since its start, and its resident memory."""

    processor_s: float
    resident_bytes: int


@attrs.frozen
class UnexpectedEnd:
    """A process that ended with an error and was not ended by the rig."""

    name: str
    exit_code: int
    log_tail: str


class ProcessTable:
    """All child processes of one run, by name.

    Parameters
    ----------
    mark : identifies the run; children carry it in their environment.
    log_folder : where the children's output goes, one file per name.
    """

    def __init__(self, mark: str, log_folder: Path) -> None:
        self._mark = mark
        self._log_folder = log_folder
        self._by_name: dict[str, ManagedProcess] = {}
        self._all: list[ManagedProcess] = []
        self._reported: set[int] = set()

    def start(self, command: Command) -> ManagedProcess:
        """Start a process; its name must not be that of a running process."""
        current = self._by_name.get(command.name)
        if current is not None and current.is_running:
            raise ValueError(f"process {command.name} is still running")
        self._log_folder.mkdir(parents=True, exist_ok=True)
        log_path = self._log_folder / f"{command.name}.log"
        with log_path.open("ab") as output:
            popen = subprocess.Popen(
                [sys.executable, "-m", command.module, *command.arguments],
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=subprocess.STDOUT,
                env={**os.environ, RUN_MARK: self._mark, **_CHILD_ENVIRONMENT},
                start_new_session=True,
                preexec_fn=_kill_on_parent_exit,
            )
        process = ManagedProcess(command, popen, log_path)
        self._by_name[command.name] = process
        self._all.append(process)
        return process

    def get(self, name: str) -> ManagedProcess | None:
        """Return the process that was last started under a name, or None."""
        return self._by_name.get(name)

    def kill(self, name: str) -> None:
        """Kill a process with SIGKILL, as a crash does, and wait until it has ended."""
        process = self._by_name[name]
        process.ended_by_rig = True
        _signal_group(process, signal.SIGKILL)
        process.popen.wait()

    def freeze(self, name: str) -> None:
        """Suspend a process."""
        process = self._by_name[name]
        _signal_group(process, signal.SIGSTOP)
        process.frozen = True

    def resume(self, name: str) -> None:
        """Resume a frozen process."""
        process = self._by_name[name]
        _signal_group(process, signal.SIGCONT)
        process.frozen = False

    def unexpected_ends(self) -> list[UnexpectedEnd]:
        """Return the processes that ended by themselves with an error since the last call."""
        found = []
        for process in self._all:
            exit_code = process.popen.poll()
            if not exit_code or process.ended_by_rig or process.popen.pid in self._reported:
                continue
            self._reported.add(process.popen.pid)
            found.append(UnexpectedEnd(process.name, exit_code, process.log_tail()))
        return found

    def end(self, names: Iterable[str], clock: Callable[[], float] = time.monotonic) -> None:
        """End the named processes with SIGTERM, then with SIGKILL those that do not end in time."""
        running = [self._by_name[name] for name in names if name in self._by_name]
        running = [process for process in running if process.is_running]
        for process in running:
            process.ended_by_rig = True
            _signal_group(process, signal.SIGTERM)
            _signal_group(process, signal.SIGCONT)
        _wait_for_all(running, clock() + TERMINATION_GRACE_S, clock)
        for process in running:
            if process.is_running:
                _signal_group(process, signal.SIGKILL)
        _wait_for_all(running, clock() + KILL_GRACE_S, clock)

    def end_all(self) -> None:
        """End every process of the run."""
        self.end(list(self._by_name))

    def remaining_processes(self) -> list[str]:
        """Return the running processes that carry this run's mark, as `pid command`."""
        return find_marked(self._mark)

    def usage(self) -> dict[str, Usage]:
        """Return the processor time and memory of each running process, by name."""
        found = {}
        for name, pid in self.pids().items():
            try:
                process = psutil.Process(pid)
                times, memory = process.cpu_times(), process.memory_info()
            except psutil.Error:
                continue
            found[name] = Usage(round(times.user + times.system, 2), memory.rss)
        return found

    def pids(self) -> dict[str, int]:
        """Return the process ids of the running processes, by name."""
        return {
            name: process.popen.pid for name, process in self._by_name.items() if process.is_running
        }


def find_marked(mark: str) -> list[str]:
    """Return the running processes, other than this one, whose environment carries `mark`."""
    found = []
    for process in psutil.process_iter(["pid", "cmdline"]):
        if process.pid == os.getpid():
            continue
        try:
            is_marked = process.environ().get(RUN_MARK) == mark
            has_ended = process.status() == psutil.STATUS_ZOMBIE
        except psutil.Error:
            continue
        if is_marked and not has_ended:
            found.append(f"{process.pid} {' '.join(process.info['cmdline'] or [])}")
    return found


_CHILD_ENVIRONMENT = {"OMP_NUM_THREADS": "1", "OPENBLAS_NUM_THREADS": "1", "PYTHONUNBUFFERED": "1"}
"""Added to the environment of children: unbuffered output, and no threads of numeric libraries.

Such threads would multiply over the thirty processes of a run.
"""


def _kill_on_parent_exit() -> None:
    _LIBC.prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


def _signal_group(process: ManagedProcess, number: signal.Signals) -> None:
    if not process.is_running:
        return
    try:
        os.killpg(process.popen.pid, number)
    except ProcessLookupError:
        return


def _wait_for_all(
    processes: list[ManagedProcess], deadline: float, clock: Callable[[], float]
) -> None:
    while clock() < deadline and any(process.is_running for process in processes):
        time.sleep(POLL_S)
