"""Passes the events that have a name but no class to eliot.

The destination that `event_log` registers with eliot writes their lines.
"""

import eliot  # type: ignore[import-untyped]

from .tables import State


def write_untyped_events(state: State) -> None:
    """Log the untyped events that were queued in the state since the last call."""
    events, state.events = state.events, []
    for name, fields in events:
        eliot.log_message(
            message_type=f"pimentodrift:{name}",
            instance=state.settings.name,
            **{key: to_json_value(value) for key, value in fields.items()},
        )


def to_json_value(value: object) -> object:
    """Return a value that JSON can represent; others become text."""
    if value is None or isinstance(value, str | int | float | bool | list | dict):
        return value
    return str(value)
