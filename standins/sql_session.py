"""Runs the statements and transactions of one client on its own SQLite connection.

Before the first write of a transaction, reads run outside a SQLite transaction, so each
sees the latest committed data, as at PostgreSQL's isolation level read committed. The
first write waits for the database's write lock and then begins a SQLite transaction,
which therefore never finds the file busy. Outside BEGIN, all statements up to the
protocol's Sync are one implicit transaction.
"""

import asyncio
import sqlite3
from collections import Counter
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress

from attrs import define, field

from . import group_functions
from .database import READ_ONLY, Database
from .group_log import Write
from .results import Result
from .sql_errors import SqlError, translate_sqlite_error
from .statements import ROLLBACK_TO, ParsedStatement, StatementKind, Value

# Transaction states as ReadyForQuery reports them.
IDLE = "I"
IN_TRANSACTION = "T"
FAILED = "E"

IN_FAILED_TRANSACTION = "25P02"
PROTOCOL_VIOLATION = "08P01"
OUT_OF_RANGE = "22003"
SERIALIZATION_FAILURE = "40001"


@define(eq=False)
class Slots:
    """Limits the statements that run at once; records the peak of those in flight."""

    limit: int
    counts: Counter[str]  # Counters of the database.
    in_flight: int = 0  # Statements that run or wait for a slot.
    semaphore: asyncio.Semaphore = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Create the semaphore."""
        self.semaphore = asyncio.Semaphore(self.limit)

    @asynccontextmanager
    async def hold_slot(self) -> AsyncIterator[None]:
        """Wait for a slot and hold it."""
        self.in_flight += 1
        self.counts["peak_statements"] = max(
            self.counts["peak_statements"], self.in_flight
        )
        try:
            async with self.semaphore:
                yield
        finally:
            self.in_flight -= 1


@define(eq=False)
class SqlSession:
    """One client's SQLite connection and transaction."""

    database: Database
    slots: Slots
    connection: sqlite3.Connection = field(init=False)
    generation: int = field(init=False)  # Storage generation that `connection` opened.
    state: str = IDLE
    is_writing: bool = False  # Whether the write lock is held.
    writes: list[Write] = field(factory=list)  # Writes of the open transaction.
    has_savepoint: bool = False
    is_read_only: bool = False  # Whether the client began a READ ONLY transaction.
    # Values of set_config(), until the transaction ends.
    settings: dict[str, Value] = field(factory=dict)
    # Error that ended the open write and that the client has not received yet.
    interruption: SqlError | None = None
    # Storage generation when the transaction began; None before its first statement.
    start_generation: int | None = None

    def __attrs_post_init__(self) -> None:
        """Open the connection."""
        self.connect()

    def connect(self) -> None:
        """Connect to the current file and register current_setting()."""
        self.connection = self.database.storage.connect()
        self.connection.create_function("current_setting", 2, self.current_setting)
        self.generation = self.database.storage.generation

    def current_setting(self, name: str, missing_ok: bool) -> Value:
        """Return a value that set_config() has set, or None."""
        return self.settings.get(name)

    async def execute(
        self, parsed: ParsedStatement, parameters: tuple[Value, ...]
    ) -> Result:
        """Run a statement; on an error, fail the transaction and raise `SqlError`."""
        try:
            return await self.dispatch(parsed, parameters)
        except sqlite3.Error as error:
            self.fail_transaction()
            raise translate_sqlite_error(error) from error
        except OverflowError as error:
            self.fail_transaction()
            raise SqlError(OUT_OF_RANGE, str(error)) from error
        except SqlError:
            self.fail_transaction()
            raise

    async def dispatch(
        self, parsed: ParsedStatement, parameters: tuple[Value, ...]
    ) -> Result:
        """Run a statement according to its kind."""
        if len(parameters) != parsed.parameter_count:
            raise SqlError(
                PROTOCOL_VIOLATION,
                f"{parsed.parameter_count} parameters expected, got {len(parameters)}",
            )
        match parsed.kind:
            case StatementKind.ROLLBACK:
                self.rollback()
                return Result("ROLLBACK")
            case StatementKind.COMMIT:
                return self.commit()
        self.raise_interruption()
        if self.state == FAILED and not self.returns_to_savepoint(parsed):
            raise SqlError(
                IN_FAILED_TRANSACTION,
                "current transaction is aborted, commands ignored until end of block",
            )
        if self.start_generation is None:
            self.start_generation = self.database.storage.generation
        match parsed.kind:
            case StatementKind.BEGIN:
                self.state = IN_TRANSACTION
                self.is_read_only = parsed.text.upper().endswith("READ ONLY")
                return Result("BEGIN")
            case StatementKind.SETTING | StatementKind.EMPTY:
                if parsed.tag in ("DISCARD", "RESET"):
                    self.settings.clear()
                return Result(parsed.tag)
            case StatementKind.SET_CONFIG:
                return self.set_config(parameters)
            case StatementKind.GROUP_FUNCTION:
                return group_functions.call_function(
                    parsed.text, parameters, self.database
                )
            case StatementKind.WRITE:
                return await self.write(parsed, parameters)
        return await self.read(parsed, parameters)

    def returns_to_savepoint(self, parsed: ParsedStatement) -> bool:
        """Return whether a statement rolls a failed transaction back to a savepoint."""
        return parsed.tag == ROLLBACK_TO and self.is_writing

    def set_config(self, parameters: tuple[Value, ...]) -> Result:
        """Set values until the transaction ends; is_local is assumed to be true."""
        for name, value in zip(parameters[::2], parameters[1::2], strict=True):
            self.settings[str(name)] = value
        columns = ("set_config",) * (len(parameters) // 2)
        return Result("SELECT 1", columns, [parameters[1::2]])

    async def read(
        self, parsed: ParsedStatement, parameters: tuple[Value, ...]
    ) -> Result:
        """Run a statement that changes no data."""
        self.database.counts["reads"] += 1
        async with self.slots.hold_slot():
            await self.wait_service_time()
            self.raise_interruption()
            return self.run_in_sqlite(parsed, parameters)

    async def write(
        self, parsed: ParsedStatement, parameters: tuple[Value, ...]
    ) -> Result:
        """Run a statement that changes data, in a SQLite transaction."""
        self.database.counts["writes"] += 1
        if self.is_read_only:
            detail = f"cannot execute {parsed.tag} in a read-only transaction"
            raise SqlError(READ_ONLY, detail)
        self.database.check_writable()
        # Take the lock before the slot: a holder of the lock needs slots to finish, so
        # waiting for the lock with a slot held could deadlock.
        await self.begin_write()
        async with self.slots.hold_slot():
            await self.wait_service_time()
            self.raise_interruption()
            result = self.run_in_sqlite(parsed, parameters)
        if parsed.tag == "SAVEPOINT":
            self.has_savepoint = True
        if parsed.tag == ROLLBACK_TO:
            self.state = IN_TRANSACTION
        if parsed.tag != "SELECT":  # SELECT ... FOR UPDATE changes no data.
            self.writes.append((parsed.text, parameters))
        return result

    async def wait_service_time(self) -> None:
        """Sleep for the configured duration of a statement."""
        if self.database.options.service_ms:
            await asyncio.sleep(self.database.options.service_ms / 1000)

    def run_in_sqlite(
        self, parsed: ParsedStatement, parameters: tuple[Value, ...]
    ) -> Result:
        """Run a statement and fetch its rows."""
        self.use_current_file()
        cursor = self.connection.execute(parsed.text, parameters)
        rows = cursor.fetchall()
        columns = None
        if cursor.description is not None:
            columns = tuple(str(item[0]) for item in cursor.description)
        count = len(rows) if columns is not None else max(cursor.rowcount, 0)
        return Result(command_tag(parsed.tag, count), columns, rows)

    def use_current_file(self) -> None:
        """Reconnect if the storage was rebuilt into a new file.

        A transaction that began before the rebuild fails, since it may have read log
        entries that the endpoint has dropped.
        """
        if self.start_generation != self.database.storage.generation:
            raise SqlError(SERIALIZATION_FAILURE, "the log's tail was dropped")
        if self.generation == self.database.storage.generation:
            return
        self.connection.close()
        self.connect()

    # --- Transactions

    async def begin_write(self) -> None:
        """Take the write lock and begin a SQLite transaction, unless one is open."""
        if self.is_writing:
            return
        await self.database.write_lock.acquire()
        try:
            self.database.check_writable()
            self.use_current_file()
            self.connection.execute("BEGIN IMMEDIATE")
        except BaseException:
            self.database.write_lock.release()
            raise
        self.is_writing = True
        self.database.interrupt_writer = self.interrupt

    def interrupt(self, error: SqlError) -> None:
        """Roll the open write back and report the error to the next statement."""
        self.undo_writes()
        self.interruption = error

    def raise_interruption(self) -> None:
        """Raise the error that ended the open write, if it was not raised yet."""
        if self.interruption is not None:
            error, self.interruption = self.interruption, None
            raise error

    def end_write(self) -> None:
        """Clear the state of the SQLite transaction and release the write lock."""
        self.is_writing = self.has_savepoint = False
        self.writes = []
        self.database.interrupt_writer = None
        self.database.write_lock.release()

    def undo_writes(self) -> None:
        """Roll the SQLite transaction back, if there is one."""
        if not self.is_writing:
            return
        # SQLite ends the transaction itself on some errors; ROLLBACK then fails.
        with suppress(sqlite3.Error):
            self.connection.execute("ROLLBACK")
        self.end_write()

    def commit_writes(self) -> None:
        """Commit the SQLite transaction and append its writes to the log."""
        self.raise_interruption()
        if not self.is_writing:
            return
        self.database.check_writable()
        self.connection.execute("COMMIT")
        if self.writes:
            self.database.record_commit(tuple(self.writes))
        self.end_write()

    def commit(self) -> Result:
        """Commit the transaction; roll it back if it has failed."""
        if self.state == FAILED:
            self.rollback()
            return Result("ROLLBACK")
        # The transaction also ends if the commit fails.
        self.state = IDLE
        self.commit_writes()
        return Result("COMMIT")

    def rollback(self) -> None:
        """Roll the transaction back."""
        self.interruption = None
        self.undo_writes()
        self.state = IDLE

    def fail_transaction(self) -> None:
        """Roll the writes back after an error; an explicit transaction becomes failed.

        An explicit transaction with a savepoint keeps its writes, since the client may
        roll back to the savepoint.
        """
        if self.state == IN_TRANSACTION:
            self.state = FAILED
        if self.state == IDLE or not self.has_savepoint:
            self.undo_writes()

    def commit_implicit(self) -> None:
        """Commit the implicit transaction at Sync; raise `SqlError` on failure."""
        if self.state != IDLE:
            return
        try:
            self.commit_writes()
        except sqlite3.Error as error:
            self.fail_transaction()
            raise translate_sqlite_error(error) from error
        except SqlError:
            self.fail_transaction()
            raise

    def ready_state(self) -> str:
        """Return the transaction state, after resetting the session if it is idle."""
        if self.state == IDLE:
            self.settings.clear()
            self.start_generation = None
            self.is_read_only = False
        return self.state

    def close(self) -> None:
        """Roll back and close the connection."""
        self.rollback()
        self.connection.close()


def command_tag(tag: str, count: int) -> str:
    """Return a command tag with the row count that its kind of command has."""
    if tag == "INSERT":
        return f"INSERT 0 {count}"
    if tag in ("SELECT", "UPDATE", "DELETE"):
        return f"{tag} {count}"
    return tag
