"""The SQLite file of a database stand-in, to which the group's log is replayed.

The file is in a temporary directory. A rebuild creates a new file from the log and
increments `generation`; sessions then reconnect.
"""

import sqlite3
from collections.abc import Iterable
from pathlib import Path

from attrs import define, field

from .group_log import Entry

CACHE_PAGES = 2000


@define
class Storage:
    """A SQLite database with one connection for replay."""

    directory: Path
    generation: int = 0  # Number of rebuilds, part of the file's name.
    replay_connection: sqlite3.Connection = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Create the first file."""
        self.replay_connection = self.connect()

    @property
    def path(self) -> Path:
        """Return the path of the current file."""
        return self.directory / f"database-{self.generation}.sqlite"

    def connect(self) -> sqlite3.Connection:
        """Open a connection to the current file."""
        connection = sqlite3.connect(self.path, isolation_level=None, timeout=0)
        connection.execute("PRAGMA journal_mode=WAL")
        # The directory is removed at exit, so data need not be synced to disk.
        connection.execute("PRAGMA synchronous=OFF")
        connection.execute(f"PRAGMA cache_size={CACHE_PAGES}")
        return connection

    def replay(self, entries: Iterable[Entry]) -> None:
        """Apply the writes of log entries in one SQLite transaction."""
        self.replay_connection.execute("BEGIN IMMEDIATE")
        for entry in entries:
            for text, parameters in entry.writes:
                self.replay_connection.execute(text, parameters).fetchall()
        self.replay_connection.execute("COMMIT")

    def rebuild(self, entries: Iterable[Entry]) -> None:
        """Replace the file by a new one with only the given entries replayed."""
        self.replay_connection.close()
        for file in self.directory.glob(f"{self.path.name}*"):
            file.unlink()
        self.generation += 1
        self.replay_connection = self.connect()
        self.replay(entries)
