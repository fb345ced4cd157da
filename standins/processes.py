"""What the stand-ins' processes have in common: addresses, readiness, signals."""

import argparse
import asyncio
import signal

# How a connection handler ends: by the peer, or cancelled at exit. Python 3.11 reports
# a handler that ends with any exception, even CancelledError, as a fault.
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
