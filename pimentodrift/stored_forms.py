"""Checks the product's own objects before they enter the copy of the store.

Rows are built from these objects, and systems read some of them in each tick. An object
that lacks a field or has one of another type would make all of that fail, and with it
the list or update that brought the object, so `view` treats it as deleted.
"""

from collections.abc import Callable
from typing import Any

from .messages import StoreObject
from .tables import Presence

MAX_NUMBER = 2**63 - 1  # The largest that peer messages and the store keep exact.
MAX_LEASE_MS = 24 * 60 * 60 * 1000

CheckForm = Callable[[dict[str, Any]], None]


def malformation(item: StoreObject) -> str | None:
    """Return what is wrong with an object's form, or None if it can be used."""
    check = CHECKS.get(item.kind)
    if check is None or item.value is None:
        return None
    try:
        check(item.value)
    except (KeyError, TypeError, ValueError) as error:
        return repr(error)
    return None


def require_text(value: Any) -> None:
    """Raise TypeError if a value is not a text."""
    if not isinstance(value, str):
        raise TypeError(f"not a text: {value!r}")


def require_number(value: Any) -> None:
    """Raise ValueError if a value is neither a whole number nor the text of one."""
    if not -MAX_NUMBER <= int(str(value)) <= MAX_NUMBER:
        raise ValueError(f"out of range: {value!r}")


def require_whole_number(value: Any) -> None:
    """Raise TypeError or ValueError if a value is not a whole number."""
    if isinstance(value, bool) or not isinstance(value, int):
        raise TypeError(f"not a whole number: {value!r}")
    require_number(value)


def require_mapping(value: Any) -> dict[str, Any]:
    """Return a value that is a mapping; raise TypeError otherwise."""
    if not isinstance(value, dict):
        raise TypeError(f"not a mapping: {value!r}")
    return value


def check_instance(value: dict[str, Any]) -> None:
    """Check an `instance` object; raise KeyError, TypeError or ValueError."""
    for name in ("address", "region", "data_centre"):
        require_text(value[name])
    Presence(value.get("state", "live"))
    lease_ms = value.get("contact_lease_ms")
    if lease_ms is not None:
        require_number(lease_ms)
        if not 0 <= int(lease_ms) <= MAX_LEASE_MS:
            raise ValueError(f"out of range: {lease_ms!r}")


def check_allocator(value: dict[str, Any]) -> None:
    """Check an `allocator` object; raise KeyError, TypeError or ValueError."""
    require_number(value["epoch"])
    require_text(value["holder"])


def check_promotion(value: dict[str, Any]) -> None:
    """Check a `promotion` object; raise KeyError, TypeError or ValueError."""
    require_number(value["token"])
    require_text(value["holder"])
    require_text(value["target"])


def check_endpoint(value: dict[str, Any]) -> None:
    """Check an `endpoint` object; raise KeyError, TypeError or ValueError."""
    for name in ("group", "region", "address"):
        require_text(value[name])
    for name in ("slots", "connections"):
        require_number(value[name])
    Presence(str(value.get("state", "live")))


def check_group(value: dict[str, Any]) -> None:
    """Check a `group` object; raise KeyError, TypeError or ValueError."""
    require_whole_number(value["term"])
    require_text(value["primary"])
    for term in require_mapping(value.get("reservations", {})).values():
        require_number(term)
    for term, start in require_mapping(value.get("term_starts") or {}).items():
        require_number(term)
        require_number(start)


def check_dropped(value: dict[str, Any]) -> None:
    """Check a `dropped` object; raise KeyError, TypeError or ValueError."""
    require_text(value["endpoint"])
    if not isinstance(value["entries"], list):
        raise TypeError(f"not a list: {value['entries']!r}")
    for entry in value["entries"]:
        require_whole_number(require_mapping(entry)["term"])
        require_whole_number(entry["position"])


CHECKS: dict[str, CheckForm] = {
    "instance": check_instance,
    "allocator": check_allocator,
    "promotion": check_promotion,
    "endpoint": check_endpoint,
    "group": check_group,
    "dropped": check_dropped,
}
