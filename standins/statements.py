"""Parses SQL text as far as the database stand-in needs: kind, parameters, splitting.

Statements are translated from PostgreSQL's syntax ($1, casts with ::) to SQLite's.
"""

import re
from enum import Enum, auto
from functools import lru_cache

from attrs import field, frozen

# A parameter or result value that SQLite and the wire protocol can represent.
Value = str | int | float | bytes | None

TOKEN = re.compile(
    r"""(?P<skip>'(?:[^']|'')*'|"(?:[^"]|"")*"|--[^\n]*|/\*.*?\*/)"""
    r"""|\$(?P<number>\d+)(?:\s*::\s*(?P<cast>\w+))?"""
    r"""|(?P<drop>::\s*\w+)|(?P<end>;)""",
    re.DOTALL,
)
SQLITE_PARAMETER = re.compile(r"""'(?:[^']|'')*'|"(?:[^"]|"")*"|\?(\d+)""")
CHANGE_KEYWORD = re.compile(r"\b(INSERT|UPDATE|DELETE|REPLACE)\b", re.IGNORECASE)
WORD = re.compile(r"[A-Za-z_]+")
GROUP_FUNCTION = re.compile(
    r"\b(?:group_(?:status|replicas|fence|promote|follow|dropped)|standin_(?:set|counts))\s*\(",
    re.IGNORECASE,
)

SET_CONFIG = re.compile(r"\bset_config\s*\(", re.IGNORECASE)

# Matches a row lock clause, which is removed: all writers exclude each other, so the
# write lock of the database replaces row locks.
ROW_LOCK_CLAUSE = re.compile(
    r"\s+FOR\s+(?:NO\s+KEY\s+)?(?:UPDATE|SHARE)(?:\s+(?:NOWAIT|SKIP\s+LOCKED))?\s*$",
    re.IGNORECASE,
)
ROLLBACK_TO = "ROLLBACK TO"  # Command tag of a rollback to a savepoint.

CAST_OIDS = {
    "int": 23,
    "integer": 23,
    "int4": 23,
    "int8": 20,
    "bigint": 20,
    "smallint": 21,
    "int2": 21,
    "float8": 701,
    "real": 700,
    "numeric": 1700,
    "bool": 16,
    "boolean": 16,
}


class StatementKind(Enum):
    """The kind of a statement, by which the session decides how to run it."""

    EMPTY = auto()
    BEGIN = auto()
    COMMIT = auto()
    ROLLBACK = auto()
    SETTING = auto()  # Accepted; only DISCARD and RESET have an effect.
    SET_CONFIG = auto()
    GROUP_FUNCTION = auto()
    READ = auto()
    WRITE = auto()


KINDS_BY_KEYWORD = {
    "BEGIN": StatementKind.BEGIN,
    "START": StatementKind.BEGIN,
    "COMMIT": StatementKind.COMMIT,
    "END": StatementKind.COMMIT,
    "ROLLBACK": StatementKind.ROLLBACK,
    "ABORT": StatementKind.ROLLBACK,
    "SET": StatementKind.SETTING,
    "RESET": StatementKind.SETTING,
    "DISCARD": StatementKind.SETTING,
    "DEALLOCATE": StatementKind.SETTING,
    "SELECT": StatementKind.READ,
    "VALUES": StatementKind.READ,
    "EXPLAIN": StatementKind.READ,
}


@frozen
class ParsedStatement:
    """A statement translated for SQLite."""

    text: str
    kind: StatementKind
    tag: str  # Command tag without row count.
    parameter_count: int = 0  # Highest parameter number.
    # Type OIDs that casts declare, by parameter number.
    oids: dict[int, int] = field(factory=dict)


def split_statements(text: str) -> list[str]:
    """Split a text at the semicolons between statements; drop empty statements."""
    parts = []
    begin = 0
    for match in TOKEN.finditer(text):
        if match["end"]:
            parts.append(text[begin : match.start()])
            begin = match.end()
    parts.append(text[begin:])
    return [part for part in parts if part.strip()]


@lru_cache(maxsize=1024)
def parse_statement(text: str) -> ParsedStatement:
    """Translate a statement to SQLite's syntax and classify it."""
    highest_number = 0
    oids: dict[int, int] = {}

    def translate(match: re.Match[str]) -> str:
        nonlocal highest_number
        if match["skip"]:
            return match["skip"]
        if match["number"]:
            number = int(match["number"])
            highest_number = max(highest_number, number)
            if match["cast"] and match["cast"].lower() in CAST_OIDS:
                oids[number] = CAST_OIDS[match["cast"].lower()]
            return f"?{number}"
        return ""

    translated = TOKEN.sub(translate, text).strip()
    kind, tag = classify_statement(translated)
    if kind is StatementKind.READ and ROW_LOCK_CLAUSE.search(translated):
        kind, translated = StatementKind.WRITE, ROW_LOCK_CLAUSE.sub("", translated)
    return ParsedStatement(translated, kind, tag, highest_number, oids)


def classify_statement(text: str) -> tuple[StatementKind, str]:
    """Return the kind and the command tag (without row count) of a statement."""
    words = [word.upper() for word in WORD.findall(text[:200])[:2]]
    if not words:
        return StatementKind.EMPTY, ""
    first = words[0]
    if first == "SELECT" and GROUP_FUNCTION.search(text):
        return StatementKind.GROUP_FUNCTION, "SELECT"
    if first == "SELECT" and SET_CONFIG.search(text):
        return StatementKind.SET_CONFIG, "SELECT"
    if first == "WITH":
        change = CHANGE_KEYWORD.search(text)
        return (
            (StatementKind.WRITE, change[1].upper())
            if change
            else (StatementKind.READ, "SELECT")
        )
    if first == "ROLLBACK" and words[1:] == ["TO"]:
        return StatementKind.WRITE, ROLLBACK_TO
    kind = KINDS_BY_KEYWORD.get(first, StatementKind.WRITE)
    if kind is StatementKind.READ:
        return kind, "SELECT"
    if kind is not StatementKind.WRITE:
        return kind, first if first != "START" else "BEGIN"
    if first in ("CREATE", "DROP", "ALTER"):
        return kind, " ".join(words)
    return kind, first


def inline_parameters(text: str, parameters: tuple[Value, ...]) -> str:
    """Return a translated statement with its parameters replaced by literals."""

    def literal(match: re.Match[str]) -> str:
        if match[1] is None:
            return match[0]
        value = parameters[int(match[1]) - 1]
        if value is None:
            return "NULL"
        if isinstance(value, bytes):
            return f"x'{value.hex()}'"
        if isinstance(value, str):
            return "'" + value.replace("'", "''") + "'"
        return repr(value)

    return SQLITE_PARAMETER.sub(literal, text)
