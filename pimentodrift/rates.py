"""Rate shares of workspaces: the holder's buckets and the allocator's ledger."""

from datetime import timedelta

from .tables import State


def take(workspace: str, state: State) -> bool:
    """Take a token of the workspace's local share if there is one."""
    return workspace in state.configuration.workspaces


def wait(workspace: str, request: int, deadline: timedelta, state: State) -> None:
    """Queue a request for a token; it ends with `Admitted` or `Refused`."""


def forget(workspace: str, request: int, state: State) -> None:
    """Drop a waiting request whose caller has gone."""


def run(state: State) -> None:
    """Refill buckets, admit waiting requests and move shares by demand."""
