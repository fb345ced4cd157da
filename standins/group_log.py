"""One endpoint's copy of the log of its database group.

Offsets start at 1 and increase by one; terms never decrease along the log. Two logs
that have an entry with the same term and offset are equal up to that entry, because
each term has one primary, which only appends.
"""

from attrs import define, field, frozen

from .statements import Value

Write = tuple[str, tuple[Value, ...]]


@frozen
class Entry:
    """One committed transaction, or a promotion when it has no writes."""

    term: int
    offset: int
    writes: tuple[Write, ...] = ()


@define
class GroupLog:
    """Log entries with consecutive offsets from 1."""

    initial_term: int  # Term of the log while it is empty.
    entries: list[Entry] = field(factory=list)

    @property
    def last_offset(self) -> int:
        """Return the offset of the last entry, or 0."""
        return len(self.entries)

    @property
    def last_term(self) -> int:
        """Return the term of the last entry, or the initial term."""
        return self.entries[-1].term if self.entries else self.initial_term

    def term_at(self, offset: int) -> int:
        """Return the term of the entry at an offset."""
        return self.entries[offset - 1].term

    def append(self, term: int, writes: tuple[Write, ...]) -> Entry:
        """Add an entry at the next offset and return it."""
        entry = Entry(term, self.last_offset + 1, writes)
        self.entries.append(entry)
        return entry

    def truncate(self, offset: int) -> list[Entry]:
        """Remove and return the entries after an offset."""
        tail = self.entries[offset:]
        del self.entries[offset:]
        return tail

    def term_starts(self) -> list[tuple[int, int]]:
        """Return (term, first offset) for each term in the log."""
        starts: list[tuple[int, int]] = []
        for entry in self.entries:
            if not starts or starts[-1][0] != entry.term:
                starts.append((entry.term, entry.offset))
        return starts

    def common_offset(self, term_starts: list[tuple[int, int]], last: int) -> int:
        """Return the last offset at which this log and another are equal, or 0.

        `term_starts` and `last` describe the other log: the first offset of each of its
        terms, and its last offset.
        """
        ends = [start - 1 for _, start in term_starts[1:]] + [last]
        for (term, start), end in reversed(list(zip(term_starts, ends, strict=False))):
            for offset in range(min(end, self.last_offset), start - 1, -1):
                own_term = self.term_at(offset)
                if own_term == term:
                    return offset
                if own_term < term:
                    break
        return 0
