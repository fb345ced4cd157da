"""Blocking client of the platform's object API, for commands that operators run.

Instances use the non-blocking client of `store_client` instead. Each call opens its own
connection: an operator's command makes few calls, and a broken connection of an earlier
call cannot affect a later one.
"""

from contextlib import closing
from datetime import timedelta
from http.client import HTTPConnection, HTTPException
from typing import Any
from urllib.parse import quote, urlsplit

import orjson
from attrs import frozen
from cattrs import BaseValidationError, structure
from expression import Error, Ok, Result

from .messages import StoreObject

CALL_TIMEOUT = timedelta(seconds=5)
OK = 200
CREATED = 201
NOT_FOUND = 404
CONFLICT = 409
REQUEST_TIMEOUT = 408
TOO_MANY_REQUESTS = 429
SERVER_ERRORS = 500


@frozen
class StoreFailure:
    """Base of the reasons why a call failed."""


@frozen
class StoreUnavailable(StoreFailure):
    """The store did not answer, or asked to retry later; a write may have happened."""

    detail: str


@frozen
class StoreRefused(StoreFailure):
    """The store rejected the call as wrong; a retry would fail again."""

    detail: str


@frozen
class VersionConflict(StoreFailure):
    """The object has another version; `current` is None if it does not exist."""

    current: StoreObject | None


@frozen
class StoreApi:
    """Client of one store at a base URL such as http://127.0.0.1:8500."""

    platform: str
    timeout: timedelta = CALL_TIMEOUT

    def get(self, kind: str, name: str) -> Result[StoreObject | None, StoreFailure]:
        """Read an object; the result is None if there is none."""
        answer = self.call("GET", object_path(kind, name))
        return answer.bind(lambda pair: parse_read_answer(*pair))

    def put(
        self, kind: str, name: str, value: dict[str, Any], version: int
    ) -> Result[StoreObject, StoreFailure]:
        """Write an object if its version is still `version` (0: create it)."""
        condition = {"If-Match": str(version)} if version else {"If-None-Match": "*"}
        answer = self.call(
            "PUT", object_path(kind, name), condition, orjson.dumps(value)
        )
        return answer.bind(lambda pair: parse_write_answer(kind, name, value, *pair))

    def call(
        self,
        method: str,
        path: str,
        headers: dict[str, str] | None = None,
        body: bytes | None = None,
    ) -> Result[tuple[int, bytes], StoreFailure]:
        """Make one call and return status and body."""
        address = urlsplit(self.platform)
        connection = HTTPConnection(
            address.hostname or "",
            address.port,
            timeout=self.timeout.total_seconds(),
        )
        all_headers = {"Content-Type": "application/json", **(headers or {})}
        try:
            with closing(connection):
                connection.request(method, path, body, all_headers)
                answer = connection.getresponse()
                return Ok((answer.status, answer.read()))
        except (OSError, HTTPException) as error:
            detail = str(error) or type(error).__name__
            return Error(StoreUnavailable(f"{method} {self.platform}{path}: {detail}"))


def object_path(kind: str, name: str) -> str:
    """Return the URL path of an object."""
    return f"/v1/objects/{quote(kind, safe='')}/{quote(name, safe='')}"


def parse_read_answer(
    status: int, body: bytes
) -> Result[StoreObject | None, StoreFailure]:
    """Convert the answer to a read; the result is None if there is no object."""
    if status == NOT_FOUND:
        return Ok(None)
    if status != OK:
        return Error(classify_failure(status, body))
    return decode(body).bind(parse_object)


def parse_write_answer(
    kind: str, name: str, value: dict[str, Any], status: int, body: bytes
) -> Result[StoreObject, StoreFailure]:
    """Convert the answer to a conditional update."""
    if status == CONFLICT:
        return decode(body).bind(
            lambda data: Error(VersionConflict(current_object(data)))
        )
    if status not in (OK, CREATED):
        return Error(classify_failure(status, body))
    return decode(body).bind(
        lambda data: parse_object({**data, "kind": kind, "name": name, "value": value})
    )


def decode(body: bytes) -> Result[dict[str, Any], StoreFailure]:
    """Parse a JSON object; a truncated answer counts as no answer."""
    try:
        data = orjson.loads(body)
    except orjson.JSONDecodeError as error:
        return Error(StoreUnavailable(f"unreadable answer of the store: {error}"))
    if not isinstance(data, dict):
        return Error(StoreRefused("the store's answer is not a JSON object"))
    return Ok(data)


def parse_object(data: dict[str, Any]) -> Result[StoreObject, StoreFailure]:
    """Convert the JSON form of a stored object."""
    try:
        return Ok(structure({"value": None, **data}, StoreObject))
    except BaseValidationError:
        return Error(StoreRefused("the store's answer is not one of its objects"))


def current_object(data: dict[str, Any]) -> StoreObject | None:
    """Return the current object of a conflict, if the store has one."""
    return parse_object(data).default_value(None)


def classify_failure(status: int, body: bytes) -> StoreFailure:
    """Return StoreUnavailable if a retry may succeed, otherwise StoreRefused."""
    detail = f"the store answered {status}: {body[:200].decode(errors='replace')}"
    if status in (REQUEST_TIMEOUT, TOO_MANY_REQUESTS) or status >= SERVER_ERRORS:
        return StoreUnavailable(detail)
    return StoreRefused(detail)
