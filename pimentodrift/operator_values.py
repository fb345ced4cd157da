"""Reads typed values from parsed YAML and keeps the line of each.

A value that cannot be read adds a finding and counts as absent, so that one error does
not hide the next.
"""

from collections.abc import Iterable, Iterator
from difflib import get_close_matches
from math import isfinite
from pathlib import Path
from typing import Any

from attrs import frozen
from ruamel.yaml.comments import CommentedMap, CommentedSeq

from .operator_findings import Finding, FindingCode


@frozen
class LocatedText:
    """A text with the file and line where it stands."""

    text: str
    file: Path
    line: int


@frozen
class Section:
    """A mapping in a YAML file; `title` names the mapping in findings."""

    file: Path
    line: int
    title: str
    node: CommentedMap
    findings: list[Finding]

    def report_finding(self, line: int, code: FindingCode, text: str) -> None:
        """Add a finding about this section."""
        self.findings.append(Finding(self.file, line, code, f"{self.title}: {text}"))

    def line_of(self, key: object) -> int:
        """Return the line of a field, or of the section if the field is absent."""
        if key not in self.node or key not in (self.node.lc.data or {}):
            return self.line
        return int(self.node.lc.key(key)[0]) + 1

    def check_fields(self, known: Iterable[str], required: Iterable[str] = ()) -> None:
        """Report unknown fields and missing required fields."""
        names = list(known)
        for key in self.node:
            if key not in names:
                self.report_finding(
                    self.line_of(key),
                    FindingCode.UNKNOWN_FIELD,
                    unknown_field_text(key, names),
                )
        for key in required:
            if key not in self.node:
                self.report_finding(
                    self.line, FindingCode.MISSING_FIELD, f"{key} is missing"
                )

    def report_wrong_type(
        self, key: object, expected: str, line: int | None = None
    ) -> None:
        """Report a value of another type than the expected one."""
        value = self.node[key]
        self.report_finding(
            line or self.line_of(key),
            FindingCode.WRONG_TYPE,
            f"{key} must be {expected}, not {type_name(value)}",
        )

    def number(self, key: str, default: float | None = None) -> float | None:
        """Read a number."""
        value = self.node.get(key, default)
        if key not in self.node or is_number(value):
            return None if value is None else float(value)
        self.report_wrong_type(key, "a number")
        return None

    def milliseconds(self, key: str, default: int | None = None) -> int | None:
        """Read a whole number of milliseconds."""
        value = self.node.get(key, default)
        if key not in self.node or is_whole_number(value):
            return None if value is None else int(value)
        self.report_wrong_type(key, "a whole number of milliseconds")
        return None

    def text(self, key: str) -> LocatedText | None:
        """Read a text."""
        if key not in self.node:
            return None
        if isinstance(self.node[key], str):
            return LocatedText(str(self.node[key]), self.file, self.line_of(key))
        self.report_wrong_type(key, "a text")
        return None

    def texts(self, key: str) -> tuple[LocatedText, ...] | None:
        """Read a list of texts: () if the field is absent, None if not a list."""
        node = self.node.get(key)
        if key not in self.node:
            return ()
        if not isinstance(node, CommentedSeq):
            self.report_wrong_type(key, "a list")
            return None
        result = []
        for index, value in enumerate(node):
            line = int(node.lc.item(index)[0]) + 1
            if isinstance(value, str):
                result.append(LocatedText(str(value), self.file, line))
            else:
                self.report_wrong_type(key, "a list of texts (quote its values)", line)
        return tuple(result)

    def section(self, key: str, title: str) -> "Section | None":
        """Read a mapping; None if it is absent, empty or of another type."""
        node = self.node.get(key)
        if node is None:
            return None
        if not isinstance(node, CommentedMap):
            self.report_wrong_type(key, "a mapping")
            return None
        return Section(self.file, self.line_of(key), title, node, self.findings)

    def sections(self, key: str, kind: str) -> "Iterator[tuple[LocatedText, Section]]":
        """Read a mapping of names to mappings; yield each name with its mapping."""
        outer = self.section(key, f"{self.title} {key}".strip())
        for name in outer.node if outer else ():
            if outer is None or not outer.check_name(name):
                continue
            title = f"{kind} {name}"
            if outer.node[name] is None:
                outer.report_finding(
                    outer.line_of(name), FindingCode.WRONG_TYPE, f"{name} is empty"
                )
                continue
            inner = outer.section(name, title)
            if inner is not None:
                yield LocatedText(name, self.file, outer.line_of(name)), inner

    def ages(self, key: str) -> tuple[tuple[LocatedText, int], ...]:
        """Read a mapping of names to whole numbers of milliseconds."""
        inner = self.section(key, f"{self.title} {key}")
        result = []
        for name in inner.node if inner else ():
            if inner is None or not inner.check_name(name):
                continue
            age = inner.milliseconds(name)
            if age is not None:
                result.append((LocatedText(name, self.file, inner.line_of(name)), age))
        return tuple(result)

    def check_name(self, key: object) -> bool:
        """Return whether a mapping's key is a text, and report one that is not."""
        if isinstance(key, str):
            return True
        line = self.line_of(key)
        self.report_finding(
            line, FindingCode.WRONG_TYPE, f"the name {key!r} must be a text: quote it"
        )
        return False


def is_number(value: Any) -> bool:
    """Return whether a value is a number that fits a float; booleans are not."""
    if not isinstance(value, int | float) or isinstance(value, bool):
        return False
    try:
        float(value)
    except OverflowError:
        return False
    return True


def is_whole_number(value: Any) -> bool:
    """Return whether a value is a number without a fraction."""
    return is_number(value) and isfinite(value) and value == int(value)


def type_name(value: Any) -> str:
    """Return the name of a YAML value's type in findings."""
    match value:
        case None:
            return "empty"
        case bool():
            return "true or false"
        case str():
            return "a text"
        case int() | float():
            return "such a number"
        case list():
            return "a list"
        case dict():
            return "a mapping"
    return type(value).__name__


def unknown_field_text(key: object, known: list[str]) -> str:
    """Return the text of a finding about an unknown field, with the closest name."""
    close = get_close_matches(str(key), known, n=1)
    if close:
        return f"unknown field {key}; did you mean {close[0]}?"
    return f"unknown field {key}; known fields: {', '.join(known)}"
