"""Runs every subcommand of the one-file binary; the last step of `make binary`.

Each command runs in an empty directory with an empty environment, so that a module or
file missing from the binary is found here and not by an operator.
"""

import json
import os
import signal
import subprocess
import sys
import tempfile
from pathlib import Path

BINARY = Path("dist/pimentodrift").absolute()
EXAMPLES = Path("examples").absolute()
COMMAND_SECONDS = 60
CLOSED_PORT = "127.0.0.1:1"

SERVICES = [str(path) for path in sorted((EXAMPLES / "kanitli").iterdir())]
# Arguments, expected exit status, and a text that the output must contain.
COMMANDS: list[tuple[list[str], int, str]] = [
    (["--help"], 0, "new-key"),
    (["--version"], 0, "."),
    (["new-key"], 0, "digest: "),
    (["check", *SERVICES], 0, "2 services, 8 workspaces: no findings"),
    (["check", "."], 1, "no-files"),
    (["publish", *SERVICES, "--platform", "x"], 2, "setting platform"),
    (["dump", CLOSED_PORT], 1, CLOSED_PORT),
    (["proxy"], 2, "PIMENTODRIFT_NAME"),
    (["stand-in", "standins.database_server", "--", "--help"], 0, "--follow"),
    (["stand-in", "standins.platform_server", "--", "--help"], 0, "--listen"),
]


def main() -> int:
    """Run all commands and return the exit status of the check."""
    with tempfile.TemporaryDirectory() as directory:
        passed = [run(directory, *row) for row in COMMANDS]
        passed.append(run_local(directory))
    print(f"{sum(passed)} of {len(passed)} commands of {BINARY.name} passed")
    return 0 if all(passed) else 1


def run(directory: str, arguments: list[str], status: int, text: str) -> bool:
    """Run one command; return whether its exit status and output are as expected."""
    done = subprocess.run(
        [BINARY, *arguments],
        cwd=directory,
        env={},
        capture_output=True,
        text=True,
        timeout=COMMAND_SECONDS,
        check=False,
    )
    output = done.stdout + done.stderr
    passed = done.returncode == status and text in output
    if not passed:
        print(f"{arguments}: status {done.returncode}, not {status}\n{output}")
    return passed


def run_local(directory: str) -> bool:
    """Run `local` until it prints its summary, then stop it.

    Return whether it exits with status 0 and leaves no instance running.
    """
    process = subprocess.Popen(
        [BINARY, "local"],
        cwd=directory,
        env={},
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
    )
    started = process.stdout.readline() if process.stdout else b""
    process.send_signal(signal.SIGTERM)
    _, errors = process.communicate(timeout=COMMAND_SECONDS)
    if process.returncode != 0 or not started:
        print(f"local: status {process.returncode}\n{errors.decode()[-2000:]}")
        return False
    left = [pid for pid in json.loads(started)["pids"] if is_running(pid)]
    if left:
        print(f"local: instances still run: {left}")
    return not left


def is_running(pid: int) -> bool:
    """Return whether a process exists."""
    try:
        os.kill(pid, 0)
    except ProcessLookupError:
        return False
    return True


if __name__ == "__main__":
    sys.exit(main())
