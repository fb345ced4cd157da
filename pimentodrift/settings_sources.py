"""Builds the settings of an instance from flags and environment variables.

The module is separate from `settings` because only the `proxy` command needs it:
importing `expression` takes a quarter of the time of `pimentodrift --help`.
"""

import re
from collections.abc import Mapping
from datetime import timedelta
from typing import Any

from attrs import NOTHING, Attribute, fields, frozen
from expression import Error, Ok, Result

from .settings import DURATION_UNITS, Settings, allowed, environment_variable, flag

DURATION = re.compile(r"(?P<number>\d+(\.\d+)?)(?P<unit>ms|s|m)")


@frozen
class SettingProblem:
    """A setting that is missing or has a value that is not allowed."""

    name: str
    source: str  # The flag or environment variable that was read.
    value: str | None  # None if the setting is missing.
    allowed: str  # Describes the allowed values.

    def __str__(self) -> str:
        if self.value is None:
            return (
                f"setting {self.name} is missing: set {flag(self.name)} or "
                f"{environment_variable(self.name)}; allowed: {self.allowed}"
            )
        return (
            f"setting {self.name}: invalid value {self.value!r} in {self.source}; "
            f"allowed: {self.allowed}"
        )


def load(
    flags: Mapping[str, str | None], environment: Mapping[str, str]
) -> Result[Settings, list[SettingProblem]]:
    """Build the settings from flags, then environment variables, then defaults.

    All problems are collected, so that an operator sees them at once.
    """
    values: dict[str, Any] = {}
    problems: list[SettingProblem] = []
    for attribute in fields(Settings):
        source, text = find_text(attribute.name, flags, environment)
        if text is None and not is_required(attribute):
            continue
        value = None if text is None else parse_value(attribute, text)
        if value is None or not is_accepted(attribute, value):
            problems.append(
                SettingProblem(attribute.name, source, text, allowed(attribute))
            )
        else:
            values[attribute.name] = value
    return Error(problems) if problems else Ok(Settings(**values))


def find_text(
    name: str, flags: Mapping[str, str | None], environment: Mapping[str, str]
) -> tuple[str, str | None]:
    """Return the source and the text of a setting; a flag takes precedence.

    The text is None if neither the flag nor the environment variable is set.
    """
    given = flags.get(name)
    if given is not None:
        return flag(name), given
    return environment_variable(name), environment.get(environment_variable(name))


def is_required(attribute: "Attribute[Any]") -> bool:
    """Return whether a setting has no default."""
    return attribute.default is NOTHING


def parse_value(attribute: "Attribute[Any]", text: str) -> Any | None:
    """Convert a text to the type of its setting; return None if it is malformed."""
    if attribute.type is timedelta:
        return parse_duration(text)
    if attribute.type is int:
        return int(text) if re.fullmatch(r"\d{1,18}", text, re.ASCII) else None
    return text


def parse_duration(text: str) -> timedelta | None:
    """Convert a text such as 500ms, 10s or 2m; return None if it is malformed."""
    match = DURATION.fullmatch(text)
    if match is None:
        return None
    try:
        return float(match["number"]) * DURATION_UNITS[match["unit"]]
    except OverflowError:
        return None


def is_accepted(attribute: "Attribute[Any]", value: Any) -> bool:
    """Return whether a setting's validator accepts a value."""
    if attribute.validator is None:
        return True
    try:
        attribute.validator(None, attribute, value)
    except (TypeError, ValueError):
        return False
    return True
