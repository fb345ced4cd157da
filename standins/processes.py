"""Helpers shared by the stand-in processes: addresses, readiness and signals."""

import argparse
import asyncio
import signal

# Exceptions that end a connection handler in regular operation: the peer closed the
# connection, or the task was cancelled at exit. Handlers suppress them, since Python
# 3.11 reports any exception of a handler as an error, even CancelledError.
CONNECTION_END_ERRORS = (OSError, EOFError, asyncio.CancelledError)


def parse_host_port(text: str) -> tuple[str, int]:
    """Parse HOST:PORT; raise `ArgumentTypeError` for anything else."""
    host, _, port = text.rpartition(":")
    if not host or not port.isdigit():
        raise argparse.ArgumentTypeError(f"{text!r} is not HOST:PORT")
    return host.strip("[]"), int(port)


async def wait_for_stop_signal() -> None:
    """Print "ready" and return when SIGTERM or SIGINT arrives."""
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    print("ready", flush=True)
    await stop.wait()
