"""Findings: errors in operators' files that `check` and `publish` print."""

from enum import StrEnum
from pathlib import Path

from attrs import frozen


class FindingCode(StrEnum):
    """The kind of a finding."""

    UNREADABLE_FILE = "unreadable-file"
    INVALID_YAML = "invalid-yaml"
    DUPLICATE_FIELD = "duplicate-field"
    NO_FILES = "no-files"
    WRONG_SUFFIX = "wrong-suffix"
    INVALID_NAME = "invalid-name"
    UNKNOWN_FIELD = "unknown-field"
    MISSING_FIELD = "missing-field"
    WRONG_TYPE = "wrong-type"
    NO_WORKSPACES = "no-workspaces"
    DUPLICATE_SERVICE = "duplicate-service"
    DUPLICATE_WORKSPACE = "duplicate-workspace"
    DUPLICATE_KEY = "duplicate-key"
    DUPLICATE_ROUTE = "duplicate-route"
    INVALID_DIGEST = "invalid-digest"
    KEY_DISCLOSED = "key-disclosed"
    INVALID_RATE = "invalid-rate"
    INVALID_BURST = "invalid-burst"
    INVALID_SHARE = "invalid-share"
    INVALID_AGE = "invalid-age"
    INVALID_DURABILITY = "invalid-durability"
    UNLISTED_GROUP = "unlisted-group"
    NOT_A_READ = "not-a-read"
    PIECE_TOO_LARGE = "piece-too-large"
    INVALID_REGIONS = "invalid-regions"


@frozen(order=True)
class Finding:
    """An error in operators' files; `line` counts from 1."""

    file: Path
    line: int
    code: FindingCode
    text: str

    def __str__(self) -> str:
        return f"{self.file}:{self.line}: {self.code}: {self.text}"
