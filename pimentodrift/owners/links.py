"""Ends the transactions of this instance's sessions at owners."""

from .. import peers
from ..session_rows import SessionRow
from ..tables import State
from .messages import CloseForwarded

PROCESS_BITS = 48


def end_remote_transaction(session: SessionRow, state: State) -> None:
    """Roll back a session's transaction at its owner, if it has one there."""
    if session.owner:
        close_at_owner(session.owner, session.session, state)
    session.owner = session.owner_endpoint = ""


def process_number(state: State) -> int:
    """Return the random number that tells this process from others of its name."""
    if not state.process:
        state.process = 1 + state.random.getrandbits(PROCESS_BITS)
    return state.process


def close_at_owner(owner: str, session: int, state: State) -> None:
    """Tell an owner to drop what it has of a session."""
    peers.send(owner, CloseForwarded(process_number(state), session), state)


def abandon_forward(operation: int, session: SessionRow, state: State) -> None:
    """Tell the owner of a statement that its client has left."""
    row = state.forwards.pop(operation, None)
    if row is not None:
        close_at_owner(row.owner, session.session, state)
        session.owner = session.owner_endpoint = ""
