"""What clients of a scripted world are answered."""

from pimentodrift.session_messages import (
    AnswerStatement,
    Fault,
    RefuseStatement,
)

from .session_support import (
    BEGIN,
    READ,
    World,
)

BEGIN_READ = type(BEGIN)(read_only=True)


def answered(message: object) -> AnswerStatement:
    assert isinstance(message, AnswerStatement), message
    return message


def refused(message: object, fault: Fault) -> RefuseStatement:
    assert isinstance(message, RefuseStatement), message
    assert message.refusal.fault is fault
    return message


def sample(world: World) -> None:
    """Let the instance learn the primary's position."""
    session = world.connect("primary-db")
    answered(world.say(session, READ))
