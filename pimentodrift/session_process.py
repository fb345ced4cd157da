"""Runs an instance whose clients hold sessions on connections, until it has stopped.

The caller of `run` passes the adapters, so that the same loop serves every platform
that has a set of them. circuits events are used only for signals and start.
"""

import signal
import sys
from collections.abc import Callable, Sequence
from datetime import timedelta
from time import monotonic
from types import FrameType
from typing import Any

from circuits import BaseComponent, handler

from . import session_core
from .event_log import EventLog, open_log
from .log_events import SettingsReloaded, Started, StartFailed, Stopped
from .messages import StopRequested
from .peer_streams import PeerStreams
from .runtime import new_state, tune_garbage_collection
from .session_messages import SessionClosed, SessionOpened, SessionStatement
from .settings import Settings
from .shell_base import Adapter, BaseShell, DeliverAll
from .sockets import Poller
from .tables import State
from .untyped_events import write_untyped_events

AdapterFactory = Callable[[State, Poller, DeliverAll], Adapter]
Reload = Callable[[], Settings | None]
# Seconds from the decision to exit until the exit, in which the last answers are sent,
# and between two looks whether they were.
EXIT_FLUSH_S = 0.1
# How long after the stop timeout the last answers may still be sent.
EXIT_DELAY = timedelta(milliseconds=400)


class SessionShell(BaseShell):
    """The session core with the adapter for peers and those passed by the caller."""

    def __init__(
        self,
        state: State,
        poller: Poller,
        exit_process: Callable[[], None],
        factories: Sequence[AdapterFactory],
        log: EventLog,
    ) -> None:
        super().__init__(state, poller, exit_process, session_core, log)
        self.add_adapter(PeerStreams(state, poller, self.deliver_all))
        for factory in factories:
            self.add_adapter(factory(state, poller, self.deliver_all))

    def close_sender(self, message: object) -> None:
        """Close the session of a client whose message the core failed to handle."""
        if isinstance(message, SessionOpened | SessionStatement):
            self.deliver_all([SessionClosed(message.session)])


class SessionInstance(BaseComponent):
    """The root component of an instance on the circuits loop."""

    channel = "instance"

    def __init__(
        self,
        state: State,
        factories: Sequence[AdapterFactory],
        reload: Reload,
        log: EventLog,
    ) -> None:
        super().__init__()
        self.state = state
        self.reload = reload
        self.has_stopped = False
        self.poller = Poller().register(self)
        self.shell = SessionShell(state, self.poller, self.begin_exit, factories, log)
        signal.signal(signal.SIGHUP, self.on_hangup)

    @handler("started", channel="*")  # type: ignore[untyped-decorator]
    def _on_started(self, *_: Any) -> None:
        settings = self.state.settings
        self.state.log_event(Started(settings.listen, settings.peer_listen))

    @handler("signal", channel="*")  # type: ignore[untyped-decorator]
    def _on_signal(self, *_: Any) -> None:
        self.shell.deliver_all([StopRequested()])

    def on_hangup(self, number: int, frame: FrameType | None) -> None:
        """Schedule a reload of the settings.

        Not done at once: the signal may interrupt a handler of the core.
        """
        self.poller.timers.call_later(0.0, self.reload_settings)

    def reload_settings(self) -> None:
        """Reload the settings; unreadable ones leave the current ones in force."""
        settings = self.reload()
        changed = settings is not None and settings != self.state.settings
        if settings is not None:
            self.state.settings = settings
        self.state.log_event(SettingsReloaded(settings is not None, changed))

    def begin_exit(self) -> None:
        """Stop the loop after a delay in which the last answers are flushed."""
        self.poller.timers.call_later(EXIT_FLUSH_S, self.finish_exit)

    def has_time_left(self) -> bool:
        """Return whether the last answers may still be sent."""
        requested_at = self.state.stop_requested_at
        if requested_at is None:
            return False
        waited = self.state.clock.monotonic() - requested_at
        return waited < self.state.settings.stop_timeout + EXIT_DELAY

    def finish_exit(self) -> None:
        """Close all sockets and stop the loop, once the last answers were sent."""
        if self.poller.has_last_answers() and self.has_time_left():
            self.poller.timers.call_later(EXIT_FLUSH_S, self.finish_exit)
            return
        self.shell.close()
        self.state.log_event(Stopped())
        self.shell.write_log()
        self.has_stopped = True
        self.stop()


def run(settings: Settings, factories: Sequence[AdapterFactory], reload: Reload) -> int:
    """Run an instance until it has stopped; return the exit status."""
    log = open_log(settings.name, sys.stdout.fileno(), monotonic)
    state = new_state(settings)
    try:
        instance = SessionInstance(state, factories, reload, log)
    except OSError as error:
        log.write([StartFailed(str(error))])
        return 1
    tune_garbage_collection()
    instance.run()
    write_untyped_events(state)
    log.write([])
    return 0 if instance.has_stopped else 1
