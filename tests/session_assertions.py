"""What clients of a scripted world are answered."""

from pimentodrift.session_messages import (
    AnswerStatement,
    Fault,
    RefuseStatement,
)

from .session_support import (
    BEGIN,
    READ,
    SessionHarness,
)

BEGIN_READ = type(BEGIN)(read_only=True)


def answered(message: object) -> AnswerStatement:
    assert isinstance(message, AnswerStatement), message
    return message


def refused(message: object, fault: Fault) -> RefuseStatement:
    assert isinstance(message, RefuseStatement), message
    assert message.refusal.fault is fault
    return message


def sample(harness: SessionHarness) -> None:
    """Let the instance learn the primary's position."""
    session = harness.open_session("primary-db")
    answered(harness.send(session, READ))
