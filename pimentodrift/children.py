"""Child processes of the `local` command.

Only the `local` command, the measurements and the tests start processes. A child is
stopped by its process id, and the kernel kills it when its parent dies, even if the
parent was killed.
"""

import ctypes
import os
import selectors
import signal
import subprocess
import sys
from collections.abc import Callable, Iterable
from datetime import timedelta
from pathlib import Path
from threading import Thread
from time import monotonic
from typing import IO

from attrs import define, field, frozen

from .settings import VARIABLE_PREFIX

READY_LINE = b"ready"
READY_TIMEOUT = timedelta(seconds=20)
PR_SET_PDEATHSIG = 1  # From <linux/prctl.h>.
LIBC = ctypes.CDLL(None)


class ChildFailed(Exception):
    """A child process ended, or was not ready in time."""


@frozen
class Child:
    """A running child process."""

    name: str
    process: "subprocess.Popen[bytes]"

    @property
    def pid(self) -> int:
        """Return the process id."""
        return self.process.pid

    def check(self) -> None:
        """Raise ChildFailed if the process has ended."""
        status = self.process.poll()
        if status is not None:
            raise ChildFailed(f"{self.name} ended with status {status}")


@define
class Children:
    """Starts and stops child processes."""

    running: list[Child] = field(factory=list)

    def start(self, name: str, command: list[str], prints_ready: bool) -> Child:
        """Start a process; if it prints a ready line, its output goes to a pipe."""
        process = subprocess.Popen(
            command,
            stdin=subprocess.DEVNULL,
            stdout=subprocess.PIPE if prints_ready else sys.stderr.fileno(),
            env=child_environment(),
            bufsize=0,
            # Safe: the function takes no locks, and threads start after all children.
            preexec_fn=end_with_parent(os.getpid()),  # noqa: PLW1509
        )
        child = Child(name, process)
        self.running.append(child)
        return child

    def stop(self, children: Iterable[Child], timeout: timedelta) -> None:
        """Send SIGTERM to children, and kill those still running after the timeout."""
        stopping = list(children)
        for child in stopping:
            child.process.terminate()
        deadline = monotonic() + timeout.total_seconds()
        for child in stopping:
            try:
                child.process.wait(max(0.0, deadline - monotonic()))
            except subprocess.TimeoutExpired:
                child.process.kill()
                child.process.wait()
        self.running = [child for child in self.running if child not in stopping]

    def kill(self) -> None:
        """Kill all running children."""
        self.stop(self.running, timedelta(0))


def wait_ready(children: list[Child], timeout: timedelta = READY_TIMEOUT) -> None:
    """Wait until each child has printed its ready line; raise ChildFailed."""
    deadline = monotonic() + timeout.total_seconds()
    waiting = {child.name: child for child in children}
    with selectors.DefaultSelector() as selector:
        for child in children:
            selector.register(stdout_pipe(child), selectors.EVENT_READ, child)
        while waiting:
            ready = selector.select(deadline - monotonic())
            if not ready:
                raise ChildFailed(f"not ready in time: {', '.join(sorted(waiting))}")
            for key, _ in ready:
                if stdout_pipe(key.data).readline().strip() != READY_LINE:
                    key.data.check()
                    continue
                selector.unregister(key.fileobj)
                del waiting[key.data.name]


def stdout_pipe(child: Child) -> IO[bytes]:
    """Return the pipe from a child's standard output; raise ChildFailed."""
    if child.process.stdout is None:
        raise ChildFailed(f"{child.name} has no pipe")
    return child.process.stdout


def forward_output(children: list[Child]) -> None:
    """Copy further output to standard error, since a full pipe would block a child."""
    for child in children:
        Thread(target=copy_lines, args=(stdout_pipe(child),), daemon=True).start()


def copy_lines(source: IO[bytes]) -> None:
    """Copy lines to standard error until the end."""
    for line in source:
        sys.stderr.write(line.decode(errors="replace"))


def child_environment() -> dict[str, str]:
    """Return the environment of children, without the parent's settings."""
    kept = {
        name: value
        for name, value in os.environ.items()
        if not name.startswith(VARIABLE_PREFIX)
    }
    root = str(Path(__file__).parent.parent)
    path = kept.get("PYTHONPATH")
    kept["PYTHONPATH"] = f"{root}{os.pathsep}{path}" if path else root
    return kept


def end_with_parent(parent: int) -> Callable[[], None]:
    """Return a function that makes a new child die with its parent."""

    def prepare() -> None:
        LIBC.prctl(PR_SET_PDEATHSIG, signal.SIGKILL)
        if os.getppid() != parent:
            os._exit(1)  # The parent ended before prctl took effect.

    return prepare


def own_command(arguments: list[str]) -> list[str]:
    """Return the command line of this program with other arguments."""
    if getattr(sys, "frozen", False):
        return [sys.executable, *arguments]
    return [sys.executable, "-m", "pimentodrift", *arguments]


def module_command(module: str, arguments: list[str]) -> list[str]:
    """Return the command line of a module; the one-file binary runs `stand-in`."""
    if getattr(sys, "frozen", False):
        return [sys.executable, "stand-in", module, "--", *arguments]
    return [sys.executable, "-m", module, *arguments]
