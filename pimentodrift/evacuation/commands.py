"""The operators' commands: evacuate a data centre, restore it, and see who is done.

They write the object of the data centre in the project's own store by a conditional
update. The protocol of that store has no deletion, so a restored data centre keeps its
object, with another state.
"""

from collections.abc import Callable, Iterable
from typing import Any

from attrs import frozen
from expression import Error, Ok, Result

from ..store_api import StoreApi, StoreFailure, VersionConflict
from .tracking import EVACUATED, OWN_KIND, RESTORED, is_evacuation

MAX_ATTEMPTS = 3  # Another operator may write the same object meanwhile.

Dump = dict[str, Any]


@frozen
class InstanceStatus:
    """How far an instance is with an evacuation; `detail` tells why it is not done."""

    instance: str
    is_done: bool
    detail: str = ""


def request(
    data_centre: str, is_wanted: bool, store: StoreApi
) -> Result[bool, StoreFailure]:
    """Evacuate or restore a data centre; return whether that changed the store."""
    failure: StoreFailure = VersionConflict(None)
    for _ in range(MAX_ATTEMPTS):
        read = store.get(OWN_KIND, data_centre)
        if read.is_error():
            return Error(read.error)
        item = read.ok
        if is_wanted == (item is not None and is_evacuation(item)):
            return Ok(False)
        value = {"state": EVACUATED if is_wanted else RESTORED}
        version = item.version if item is not None else 0
        written = store.put(OWN_KIND, data_centre, value, version)
        if written.is_ok():
            return Ok(True)
        failure = written.error
        if not isinstance(failure, VersionConflict):
            break
    return Error(failure)


def collect_dumps(
    address: str, fetch_dump: Callable[[str], Dump]
) -> dict[str, Dump | str]:
    """Return the dump of each listed instance, or why there is none, by name.

    Raise OSError or ValueError if the instance at `address` gives no dump.
    """
    first = fetch_dump(address)
    result: dict[str, Dump | str] = {}
    for name, row in sorted(first["instances"].items()):
        try:
            result[name] = fetch_dump(row["address"])
        except (OSError, ValueError) as error:
            result[name] = str(error) or type(error).__name__
    return result


def status_by_data_centre(
    dumps: dict[str, Dump | str],
) -> dict[str, list[InstanceStatus]]:
    """Return how far each instance is, by evacuated data centre."""
    known = [dump for dump in dumps.values() if not isinstance(dump, str)]
    names = {name for dump in known for name in dump.get("evacuations", {})}
    return {
        name: [
            instance_status(instance, name, dump) for instance, dump in dumps.items()
        ]
        for name in sorted(names)
    }


def instance_status(
    instance: str, data_centre: str, dump: Dump | str
) -> InstanceStatus:
    """Return how far an instance is with the evacuation of a data centre."""
    if isinstance(dump, str):
        return InstanceStatus(instance, False, f"no dump: {dump}")
    row = dump.get("evacuations", {}).get(data_centre)
    if row is None:
        return InstanceStatus(instance, False, "does not know of it")
    if row["done_at"] is None:
        return InstanceStatus(instance, False, "has connections there or its primaries")
    return InstanceStatus(instance, True)


def report_lines(found: dict[str, list[InstanceStatus]]) -> Iterable[str]:
    """Yield the lines that tell an operator how far the evacuations are."""
    for data_centre, rows in found.items():
        done = sum(row.is_done for row in rows)
        yield f"{data_centre}: {done} of {len(rows)} instances are done"
        for row in rows:
            yield f"  {row.instance}: {'done' if row.is_done else row.detail}"
