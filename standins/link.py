"""Simulates a network link between regions: a TCP forwarder with delay and partitions.

A cut link holds back all bytes and connection attempts, as a partition does; when it is
healed, they continue in order. SIGUSR1 cuts the link and SIGUSR2 heals it. The control
port accepts the lines `cut`, `heal`, `reset` (abort all connections) and `delay MS`,
and answers each with `ok`.
"""

import argparse
import asyncio
import selectors
import signal
from contextlib import suppress

from attrs import define, field, frozen

from .processes import CONNECTION_END_ERRORS, parse_host_port, wait_for_stop_signal

CHUNK_BYTES = 65536
QUEUE_CHUNKS = 1024
PAIR_PARTS = 3
# Below this delay the link uses select(). epoll rounds its timeout up to whole
# milliseconds, which made a round trip over a link of 0.5 ms take 3.4 ms. select() has
# no such rounding but is limited to 1024 descriptors.
SELECT_LOOP_BELOW_MS = 2

Address = tuple[str, int]


@frozen
class AddressPair:
    """A listening address and the address that its connections are forwarded to."""

    listen: Address
    to: Address
    delay_ms: float | None = None  # One-way delay; None for the delay of the link.


@define(eq=False)
class Link:
    """The forwarder of all address pairs, which are cut and healed together."""

    delay_ms: float  # One-way delay of pairs that have none of their own.
    healed: asyncio.Event = field(factory=asyncio.Event)  # Set while not cut.
    transports: set[asyncio.WriteTransport] = field(factory=set)

    def __attrs_post_init__(self) -> None:
        """Start with the link healed."""
        self.healed.set()

    def delay_s(self, pair: AddressPair) -> float:
        """Return the one-way delay of a pair in seconds."""
        delay_ms = self.delay_ms if pair.delay_ms is None else pair.delay_ms
        return delay_ms / 1000

    def reset(self) -> None:
        """Abort all connections."""
        for transport in list(self.transports):
            transport.abort()

    async def listen(self, pair: AddressPair) -> None:
        """Start to accept connections of a pair and forward them."""

        async def accept(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            with suppress(*CONNECTION_END_ERRORS):
                await self.forward(pair, reader, writer)

        host, port = pair.listen
        await asyncio.start_server(accept, host, port, backlog=1024)

    async def forward(
        self,
        pair: AddressPair,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Forward one connection in both directions until it ends."""
        self.transports.add(writer.transport)
        try:
            await self.healed.wait()
            far_reader, far_writer = await asyncio.open_connection(*pair.to)
        except OSError:
            writer.transport.abort()
            return
        finally:
            self.transports.discard(writer.transport)
        pipes = (
            Pipe(self, pair, reader, far_writer),
            Pipe(self, pair, far_reader, writer),
        )
        transports = {writer.transport, far_writer.transport}
        self.transports |= transports
        try:
            await asyncio.gather(*(pipe.run() for pipe in pipes))
        finally:
            self.transports -= transports
            for transport in transports:
                transport.abort()


@define(eq=False)
class Pipe:
    """One direction of a forwarded connection."""

    link: Link
    pair: AddressPair
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    # Chunks with the loop time at which they are due; an empty chunk ends the stream.
    queue: asyncio.Queue[tuple[float, bytes]] = field(
        factory=lambda: asyncio.Queue(QUEUE_CHUNKS)
    )

    async def run(self) -> None:
        """Copy bytes until the end of the stream has been forwarded."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self.queue_chunks())
            group.create_task(self.write_chunks())

    async def queue_chunks(self) -> None:
        """Read chunks into the queue until the stream ends."""
        loop = asyncio.get_running_loop()
        while True:
            try:
                data = await self.reader.read(CHUNK_BYTES)
            except OSError:
                data = b""
            await self.queue.put((loop.time() + self.link.delay_s(self.pair), data))
            if not data:
                return

    async def write_chunks(self) -> None:
        """Write each queued chunk when it is due and the link is not cut."""
        loop = asyncio.get_running_loop()
        while True:
            due, data = await self.queue.get()
            await asyncio.sleep(due - loop.time())
            await self.link.healed.wait()
            with suppress(OSError):
                if data:
                    self.writer.write(data)
                    await self.writer.drain()
                else:
                    self.writer.write_eof()
            if not data:
                return


async def serve_control(
    link: Link, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    """Execute the commands of one control connection."""
    while line := await reader.readline():
        match line.decode().split():
            case ["cut"]:
                link.healed.clear()
            case ["heal"]:
                link.healed.set()
            case ["reset"]:
                link.reset()
            case ["delay", delay_ms]:
                link.delay_ms = float(delay_ms)
            case _:
                writer.write(b"unknown command\n")
                continue
        writer.write(b"ok\n")
    writer.close()


async def serve(
    pairs: list[AddressPair], delay_ms: float, control_listen: Address | None
) -> None:
    """Forward connections of all pairs until a stop signal arrives."""
    link = Link(delay_ms)
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGUSR1, link.healed.clear)
    loop.add_signal_handler(signal.SIGUSR2, link.healed.set)
    for pair in pairs:
        await link.listen(pair)
    if control_listen is not None:
        await asyncio.start_server(
            lambda reader, writer: serve_control(link, reader, writer), *control_listen
        )
    await wait_for_stop_signal()


def make_event_loop(delays_ms: list[float]) -> asyncio.AbstractEventLoop:
    """Return an event loop whose timers are precise enough for the delays."""
    if any(0 < delay < SELECT_LOOP_BELOW_MS for delay in delays_ms):
        return asyncio.SelectorEventLoop(selectors.SelectSelector())
    return asyncio.SelectorEventLoop()


def parse_pair(text: str) -> AddressPair:
    """Parse LISTEN=TO or LISTEN=TO=DELAY_MS."""
    parts = text.split("=")
    if len(parts) not in (PAIR_PARTS - 1, PAIR_PARTS):
        raise argparse.ArgumentTypeError(f"{text!r} is not LISTEN=TO[=DELAY_MS]")
    delay_ms = float(parts[2]) if len(parts) == PAIR_PARTS else None
    return AddressPair(parse_host_port(parts[0]), parse_host_port(parts[1]), delay_ms)


def main(texts: list[str] | None = None) -> None:
    """Run the link as a process."""
    parser = argparse.ArgumentParser(description="Link with delay and cuts.")
    parser.add_argument("--listen", type=parse_host_port)
    parser.add_argument("--to", type=parse_host_port)
    parser.add_argument("--delay-ms", type=float, default=0)
    parser.add_argument(
        "--pair",
        action="append",
        default=[],
        type=parse_pair,
        metavar="LISTEN=TO[=DELAY_MS]",
    )
    parser.add_argument("--control", type=parse_host_port, metavar="HOST:PORT")
    arguments = parser.parse_args(texts)
    pairs: list[AddressPair] = arguments.pair
    if (arguments.listen is None) != (arguments.to is None):
        parser.error("--listen and --to go together")
    if arguments.listen is not None:
        pairs.append(AddressPair(arguments.listen, arguments.to))
    if not pairs:
        parser.error("--listen and --to, or --pair, are required")
    delays_ms = [pair.delay_ms or 0 for pair in pairs] + [arguments.delay_ms]
    with asyncio.Runner(loop_factory=lambda: make_event_loop(delays_ms)) as runner:
        runner.run(serve(pairs, arguments.delay_ms, arguments.control))


if __name__ == "__main__":
    main()
