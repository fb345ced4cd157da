"""Child processes of the `local` command.

`local` and the tests are the only places where a process starts others. Children are
ended by their own process id, and they end with their parent also when it is killed.
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
    """Starts children and ends them."""

    running: list[Child] = field(factory=list)

    def start(self, name: str, command: list[str], prints_ready: bool) -> Child:
        """Start a process; its other output goes to standard error."""
        process = subprocess.Popen(
            command,
            stdin=subprocess.DEVNULL,
            stdout=subprocess.PIPE if prints_ready else sys.stderr.fileno(),
            env=child_environment(),
            bufsize=0,
            # Runs no Python code that takes locks; threads start after the children.
            preexec_fn=end_with_parent(os.getpid()),  # noqa: PLW1509
        )
        child = Child(name, process)
        self.running.append(child)
        return child

    def stop(self, children: Iterable[Child], timeout: timedelta) -> None:
        """Ask children to stop, and kill those that have not within the time."""
        chosen = list(children)
        for child in chosen:
            child.process.terminate()
        deadline = monotonic() + timeout.total_seconds()
        for child in chosen:
            try:
                child.process.wait(max(0.0, deadline - monotonic()))
            except subprocess.TimeoutExpired:
                child.process.kill()
                child.process.wait()
        self.running = [child for child in self.running if child not in chosen]

    def kill(self) -> None:
        """Kill every child that is left."""
        self.stop(self.running, timedelta(0))


def wait_ready(children: list[Child], timeout: timedelta = READY_TIMEOUT) -> None:
    """Wait until each child has printed its ready line."""
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
    """Return the pipe with a child's standard output."""
    if child.process.stdout is None:
        raise ChildFailed(f"{child.name} has no pipe")
    return child.process.stdout


def forward_output(children: list[Child]) -> None:
    """Pass further output on to standard error: a full pipe would stop a child."""
    for child in children:
        Thread(target=copy_lines, args=(stdout_pipe(child),), daemon=True).start()


def copy_lines(source: IO[bytes]) -> None:
    """Copy lines to standard error until the end."""
    for line in source:
        sys.stderr.write(line.decode(errors="replace"))


def child_environment() -> dict[str, str]:
    """Return the environment of children, without settings of the parent."""
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
    """Return what a child runs first, so that it ends when its parent is killed."""

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
    """Return the command line of a module; the one-file binary runs it itself."""
    if getattr(sys, "frozen", False):
        return [sys.executable, "stand-in", module, "--", *arguments]
    return [sys.executable, "-m", module, *arguments]
