"""Processes of the system under measurement: their start, CPU time and control."""

import os
import subprocess
from http.client import HTTPConnection
from pathlib import Path
from typing import IO

import orjson
from attrs import define, field

from pimentodrift.children import Child, Children, child_environment, end_with_parent

OK = 200
TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
# Fields of /proc/PID/stat after the command, which ends with ")".
USER_TIME, SYSTEM_TIME = 11, 12


class MeasureFailed(Exception):
    """A measurement could not be carried out, so it has no figures."""


@define
class LoggedChildren(Children):
    """Starts child processes that write to one log file."""

    log: IO[bytes]
    directory: str
    running: list[Child] = field(factory=list)

    def start(self, name: str, command: list[str], prints_ready: bool) -> Child:
        """Start a process whose temporary files, such as databases', go to `directory`.

        Standard output goes to a pipe, not the log, if the process prints a ready line.
        """
        process = subprocess.Popen(
            command,
            stdin=subprocess.DEVNULL,
            stdout=subprocess.PIPE if prints_ready else self.log,
            stderr=self.log,
            env={**child_environment(), "TMPDIR": self.directory},
            bufsize=0,
            preexec_fn=end_with_parent(os.getpid()),  # noqa: PLW1509
        )
        child = Child(name, process)
        self.running.append(child)
        return child


def cpu_time(pid: int) -> float:
    """Return the CPU time that a process has used, in seconds."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    ticks = int(fields[USER_TIME]) + int(fields[SYSTEM_TIME])
    return ticks / TICKS_PER_SECOND


def post_json(address: str, path: str, value: object) -> None:
    """Send JSON to a stand-in; raise MeasureFailed unless the status is 200."""
    connection = HTTPConnection(address, timeout=5)
    try:
        connection.request("POST", path, orjson.dumps(value))
        answer = connection.getresponse()
        answer.read()
    finally:
        connection.close()
    if answer.status != OK:
        raise MeasureFailed(f"{address}{path}: {answer.status}")
