"""Assertions on the answers to clients of a `SessionHarness`."""

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


def assert_answered(message: object) -> AnswerStatement:
    assert isinstance(message, AnswerStatement), message
    return message


def assert_refused(message: object, fault: Fault) -> RefuseStatement:
    assert isinstance(message, RefuseStatement), message
    assert message.refusal.fault is fault
    return message


def learn_primary_position(harness: SessionHarness) -> None:
    """Let the instance learn the primary's log position by a read."""
    session = harness.open_session("primary-db")
    assert_answered(harness.send(session, READ))
