"""Blocking client of the platform's object API, for commands that operators run.

Instances use the non-blocking client on their loop instead. Each call opens its own
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
    """Base of what can go wrong in a call."""


@frozen
class StoreUnavailable(StoreFailure):
    """The store did not answer, or asked to try later; a write may have happened."""

    detail: str


@frozen
class StoreRefused(StoreFailure):
    """The store answered that the call is wrong; to repeat it is pointless."""

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
        answer = self.call("GET", path_of(kind, name))
        return answer.bind(lambda pair: read_get(*pair))

    def put(
        self, kind: str, name: str, value: dict[str, Any], version: int
    ) -> Result[StoreObject, StoreFailure]:
        """Write an object if its version is still `version` (0: create it)."""
        condition = {"If-Match": str(version)} if version else {"If-None-Match": "*"}
        answer = self.call("PUT", path_of(kind, name), condition, orjson.dumps(value))
        return answer.bind(lambda pair: read_put(kind, name, value, *pair))

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


def path_of(kind: str, name: str) -> str:
    """Return the URL path of an object."""
    return f"/v1/objects/{quote(kind, safe='')}/{quote(name, safe='')}"


def read_get(status: int, body: bytes) -> Result[StoreObject | None, StoreFailure]:
    """Interpret the answer to a read."""
    if status == NOT_FOUND:
        return Ok(None)
    if status != OK:
        return Error(failure(status, body))
    return decode(body).bind(parse_object)


def read_put(
    kind: str, name: str, value: dict[str, Any], status: int, body: bytes
) -> Result[StoreObject, StoreFailure]:
    """Interpret the answer to a conditional update."""
    if status == CONFLICT:
        return decode(body).bind(lambda data: Error(VersionConflict(current_of(data))))
    if status not in (OK, CREATED):
        return Error(failure(status, body))
    return decode(body).bind(
        lambda data: parse_object({**data, "kind": kind, "name": name, "value": value})
    )


def decode(body: bytes) -> Result[dict[str, Any], StoreFailure]:
    """Parse a JSON object; a cut-off answer counts as no answer."""
    try:
        data = orjson.loads(body)
    except orjson.JSONDecodeError as error:
        return Error(StoreUnavailable(f"unreadable answer of the store: {error}"))
    if not isinstance(data, dict):
        return Error(StoreRefused("the store's answer is not a JSON object"))
    return Ok(data)


def parse_object(data: dict[str, Any]) -> Result[StoreObject, StoreFailure]:
    """Convert a JSON object of the store."""
    try:
        return Ok(structure({"value": None, **data}, StoreObject))
    except BaseValidationError:
        return Error(StoreRefused("the store's answer is not one of its objects"))


def current_of(data: dict[str, Any]) -> StoreObject | None:
    """Return the current object of a conflict, if the store has one."""
    return parse_object(data).default_value(None)


def failure(status: int, body: bytes) -> StoreFailure:
    """Tell apart what may pass with time from what will not."""
    detail = f"the store answered {status}: {body[:200].decode(errors='replace')}"
    if status in (REQUEST_TIMEOUT, TOO_MANY_REQUESTS) or status >= SERVER_ERRORS:
        return StoreUnavailable(detail)
    return StoreRefused(detail)
