"""One database of a group: its role, its log and the platform's group functions.

No method awaits, so a fence, a promotion and a commit never overlap. The term of an
endpoint is the term of the last entry in its log. A promotion appends an entry without
writes, so a primary has its new term at once, and a replica has it as soon as it has
received the log up to that promotion.
"""

import asyncio
from collections import Counter
from collections.abc import Callable
from enum import StrEnum

from attrs import define, field, frozen

from .group_log import Entry, GroupLog, Write
from .sql_errors import SqlError
from .statements import inline_parameters
from .storage import Storage

READ_ONLY = "25006"
INVALID_PARAMETER = "22023"

Address = tuple[str, int]


class Role(StrEnum):
    """The role that group_status() reports."""

    PRIMARY = "primary"
    REPLICA = "replica"
    FENCED = "fenced"


@define
class Options:
    """Command line options of the database stand-in; times are in milliseconds."""

    name: str
    region: str = ""
    term: int = 1
    slots: int = 1000
    connect_ms: float = 0
    service_ms: float = 0
    lag_ms: float = 0
    max_connections: int = 1000


# Names that `SELECT standin_set(NAME, VALUE)` accepts.
CONTROLS = ("lag_ms", "service_ms", "connect_ms", "frozen", "cut")


@frozen(eq=False)
class Upstream:
    """The address of the primary that a replica follows.

    Compared by identity, so that following the same address again is a new upstream.
    """

    host: str
    port: int


@frozen
class ReplicaState:
    """The position that a replica has acknowledged."""

    term: int  # Term of the last entry in the replica's log.
    received: int  # Offset of that entry.


@define
class Status:
    """The row that group_status() returns."""

    role: Role
    term: int  # Term of the last entry in the log.
    received: int  # Offset of the last entry in the log.
    replayed: int  # Offset of the last entry that reads can see.


@define
class Wakeups:
    """Events that are set when the state of the database changes."""

    events: set[asyncio.Event] = field(factory=set)

    def wake(self) -> None:
        """Set all events."""
        for event in self.events:
            event.set()


@define(eq=False)
class Database:
    """The state of one endpoint of a database group."""

    options: Options
    storage: Storage
    role: Role
    log: GroupLog
    primary_term: int  # Term of the primary that this endpoint is or follows.
    seen_term: int  # Highest term received in a fence, a follow or from a primary.
    fenced_term: int = 0  # Term of the last accepted fence; 0 if none.
    promotion_offset: int = 0  # Offset of the entry of this endpoint's last promotion.
    upstream: Upstream | None = None  # None if this endpoint follows no primary.
    replayed: int = 0  # Offset of the last replayed entry.
    frozen: bool = False  # Control: replay is stopped.
    cut: bool = False  # Control: no replication in either direction.
    # Event loop time at which each entry of the log arrived, by offset - 1.
    arrival_times: list[float] = field(factory=list)
    # Entries removed from the log because the primary lacks them.
    dropped_entries: list[Entry] = field(factory=list)
    # Acknowledged positions by replica name, on a primary.
    replicas: dict[str, ReplicaState] = field(factory=dict)
    write_lock: asyncio.Lock = field(factory=asyncio.Lock)
    # Rolls the open write transaction back with an error; None if none is open.
    interrupt_writer: Callable[[SqlError], None] | None = None
    replication_transports: set[asyncio.WriteTransport] = field(factory=set)
    wakeups: Wakeups = field(factory=Wakeups)
    counts: Counter[str] = field(factory=Counter)  # For standin_counts().

    # --- Writing

    def check_writable(self) -> None:
        """Raise `SqlError` unless this endpoint is an unfenced primary."""
        if self.role is not Role.PRIMARY:
            raise self.read_only_error()

    def read_only_error(self) -> SqlError:
        """Return the error for a write on an endpoint that rejects writes."""
        return SqlError(READ_ONLY, f"endpoint {self.options.name} is {self.role}")

    def record_commit(self, writes: tuple[Write, ...]) -> None:
        """Append the writes of a transaction that SQLite has committed to the log."""
        self.counts["commits"] += 1
        self.log.append(self.primary_term, writes)
        self.arrival_times.append(0)
        self.replayed = self.log.last_offset
        self.wakeups.wake()

    # --- The functions of the platform

    def status(self) -> Status:
        """Return the row of group_status()."""
        log = self.log
        return Status(self.role, log.last_term, log.last_offset, self.replayed)

    def fence(self, term: int) -> bool:
        """Reject writes, and log entries from primaries of terms below `term`.

        Return False if a term at least as high is already known.
        """
        if term <= self.seen_term:
            return False
        self.seen_term = self.fenced_term = term
        self.role = Role.FENCED
        self.abort_open_write()
        self.wakeups.wake()
        return True

    def promote(self, term: int) -> int | None:
        """Become primary of the fenced term and return its first offset.

        Return None if this endpoint was not fenced with `term`. A repeated call for the
        same term returns the same offset.
        """
        if term != self.fenced_term or term != self.seen_term:
            return None
        if self.role is Role.PRIMARY:
            return self.promotion_offset
        if self.role is not Role.FENCED:
            return None
        self.upstream = None
        self.close_replication()
        self.replay_up_to(self.log.last_offset)
        self.role = Role.PRIMARY
        self.primary_term = term
        self.replicas.clear()
        self.promotion_offset = self.log.last_offset + 1
        self.record_commit(())
        return self.promotion_offset

    def follow(self, term: int, address: Address, start: int) -> bool:
        """Replicate from the primary of `term`, whose first entry is at `start`.

        Entries of lower terms from `start` on are dropped. Return False for a stale
        term, or on the primary of that term.
        """
        if term < self.seen_term:
            return False
        if self.role is Role.PRIMARY and self.primary_term == term:
            return False
        if self.is_following(address) and term == self.seen_term:
            return True  # A repeated call keeps the existing connection.
        self.seen_term = term
        self.role = Role.REPLICA
        self.abort_open_write()
        self.replicas.clear()
        if self.log.last_offset >= start and self.log.term_at(start) < term:
            self.drop_after(start - 1)
        self.upstream = Upstream(*address)
        self.close_replication()
        self.wakeups.wake()
        return True

    def is_following(self, address: Address) -> bool:
        """Return whether this endpoint is a replica of the given address."""
        upstream = self.upstream
        if self.role is not Role.REPLICA or upstream is None:
            return False
        return (upstream.host, upstream.port) == address

    def abort_open_write(self) -> None:
        """Roll the open write transaction back, if there is one."""
        if self.interrupt_writer is not None:
            self.interrupt_writer(self.read_only_error())

    # --- Replication, as a replica

    def accepts_log_from(self, upstream: Upstream, primary_term: int) -> bool:
        """Return whether to accept log entries from a primary with this term."""
        return (
            upstream is self.upstream
            and not self.cut
            and primary_term >= self.seen_term
        )

    def align_log(self, primary_term: int, last_common: int) -> None:
        """Accept a primary's term and drop the entries after the last common offset."""
        if last_common < self.log.last_offset:
            self.drop_after(last_common)
        self.receive_entries(primary_term, [], 0)

    def drop_after(self, offset: int) -> None:
        """Move the entries after an offset from the log to the dropped entries.

        If any of them was replayed, the storage is rebuilt from the rest of the log.
        """
        self.dropped_entries += self.log.truncate(offset)
        del self.arrival_times[offset:]
        if self.replayed > offset:
            self.storage.rebuild(self.log.entries)
            self.replayed = offset

    def receive_entries(
        self, primary_term: int, entries: list[Entry], now: float
    ) -> None:
        """Append entries received from the primary to the log; replay comes later."""
        self.primary_term = primary_term
        self.seen_term = max(self.seen_term, primary_term)
        for entry in entries:
            if entry.offset == self.log.last_offset + 1:
                self.log.entries.append(entry)
                self.arrival_times.append(now)
        self.wakeups.wake()

    def replay_up_to(self, offset: int) -> None:
        """Replay the received entries up to an offset."""
        if offset <= self.replayed:
            return
        self.storage.replay(self.log.entries[self.replayed : offset])
        self.replayed = offset

    def replay_due_entries(self, now: float) -> float | None:
        """Replay the entries that arrived at least the configured lag ago.

        Return the loop time at which the next entry is due; None if none is waiting.
        """
        if self.frozen or self.role is Role.PRIMARY:
            return None
        lag = self.options.lag_ms / 1000
        offset = self.replayed
        while offset < self.log.last_offset and self.arrival_times[offset] + lag <= now:
            offset += 1
        self.replay_up_to(offset)
        if offset == self.log.last_offset:
            return None
        return self.arrival_times[offset] + lag

    def close_replication(self) -> None:
        """Abort all replication connections; replicas then reconnect."""
        for transport in list(self.replication_transports):
            transport.abort()

    # --- Controls that tests set

    def set_control(self, name: str, value: float) -> None:
        """Set a control; raise `SqlError` if its name is unknown."""
        if name not in CONTROLS:
            raise SqlError(INVALID_PARAMETER, f"{name!r} is not one of {CONTROLS}")
        if name == "frozen":
            self.frozen = bool(value)
        elif name == "cut":
            self.cut = bool(value)
            self.close_replication()
        else:
            setattr(self.options, name, value)
        self.wakeups.wake()

    def dropped_statements(self) -> list[tuple[int, int, str]]:
        """Return (term, offset, statement) for each write of the dropped entries."""
        return [
            (entry.term, entry.offset, inline_parameters(text, parameters))
            for entry in self.dropped_entries
            for text, parameters in entry.writes
        ]
