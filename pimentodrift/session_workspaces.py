"""Follows the configuration in who holds the key of a session.

A session lasts for long, and keys are added, moved and withdrawn meanwhile. Its
statements are charged to and run for the workspace that holds its key now, or on an
open route for nobody. A transaction that has begun at a database can't change its
workspace, so it ends.
"""

from .session_messages import Fault, Refusal
from .session_rows import OperationRow, SessionRow
from .tables import State

MOVED = "the key of the session is not that of its workspace any more"


def holder(key_digest: str, state: State) -> str:
    """Return the workspace that holds a key; empty if none does."""
    key = state.configuration.keys.get(key_digest)
    return key.workspace if key is not None else ""


def has_moved(session: SessionRow, state: State) -> bool:
    """Return whether another workspace holds a session's key now, or none does."""
    return holder(session.key_digest, state) != session.workspace


def follow(session: SessionRow, state: State) -> None:
    """Let a session's next work run for the workspace that holds its key now."""
    if not session.connection and not session.owner:
        session.workspace = holder(session.key_digest, state)


def move(operation: OperationRow, session: SessionRow, state: State) -> None:
    """Move a statement that no database was sent to its session's new workspace."""
    session.workspace = operation.workspace = holder(session.key_digest, state)
    state.counters["sessions.moved"] += 1


def moved_refusal(session: SessionRow, state: State) -> Refusal | None:
    """Return why work that began for a session's workspace can't go on, or None."""
    return Refusal(Fault.ABORTED, MOVED) if has_moved(session, state) else None
