"""Passes what the core has noted by name on to eliot; `event_log` writes the lines."""

import eliot  # type: ignore[import-untyped]

from .tables import State


def write_untyped_events(state: State) -> None:
    """Write the events that the core has noted since the last call."""
    events, state.events = state.events, []
    for name, fields in events:
        eliot.log_message(
            message_type=f"pimentodrift:{name}",
            instance=state.settings.name,
            **{key: loggable(value) for key, value in fields.items()},
        )


def loggable(value: object) -> object:
    """Return a value that JSON has."""
    if value is None or isinstance(value, str | int | float | bool | list | dict):
        return value
    return str(value)
