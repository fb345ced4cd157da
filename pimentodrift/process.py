"""Assembles an instance and runs it on the circuits loop until it has stopped.

circuits events are used only for signals, start and stop.
"""

import sys
from resource import RLIMIT_NOFILE, getrlimit
from time import monotonic
from typing import Any

from circuits import BaseComponent, handler

from .event_log import EventLog, open_log
from .log_events import DescriptorLimitLow, Started, StartFailed, Stopped
from .messages import StopRequested
from .metrics import SEND_INTERVAL_S, Metrics
from .runtime import new_state, tune_garbage_collection
from .settings import Settings
from .shell import SECOND, Shell
from .sockets import Poller
from .tables import State
from .untyped_events import write_untyped_events

# File descriptors beside those of callers: for peers, endpoints, the store and the
# process itself.
RESERVED_DESCRIPTORS = 512
# The core ends a graceful shutdown within `stop_timeout`. If it fails to, the exit
# begins this long after the timeout.
STOP_MARGIN_S = 5.0
# When the core has decided to exit, requests that are still arriving get an answer:
# idle connections are closed only after EXIT_GRACE_S. Requests that are unanswered
# EXIT_ANSWER_S later are answered with an unknown outcome. Answers are flushed until
# EXIT_FLUSH_S after the end of the grace period.
EXIT_GRACE_S = 0.2
EXIT_ANSWER_S = 1.0
EXIT_FLUSH_S = 2.0
EXIT_CHECK_S = 0.02


class Instance(BaseComponent):
    """The root component of an instance on the circuits loop."""

    channel = "instance"

    def __init__(self, state: State, log: EventLog) -> None:
        super().__init__()
        self.state = state
        self.poller = Poller().register(self)
        self.shell = Shell(state, self.poller, self.begin_exit, log)
        self.exiting = False
        self.has_stopped = False
        self.exit_checks_left = round(EXIT_FLUSH_S / EXIT_CHECK_S)
        if state.settings.statsd:
            self.metrics = Metrics(state)
            self.poller.timers.call_every(SEND_INTERVAL_S, self.send_metrics)

    @handler("started", channel="*")  # type: ignore[untyped-decorator]
    def _on_started(self, *_: Any) -> None:
        host = self.state.settings.listen.rpartition(":")[0]
        peer_host = self.state.settings.peer_listen.rpartition(":")[0]
        self.state.log_event(
            Started(
                f"{host}:{self.shell.http.listener.port}",
                f"{peer_host}:{self.shell.peers.listener.port}",
            )
        )

    @handler("signal", channel="*")  # type: ignore[untyped-decorator]
    def _on_signal(self, *_: Any) -> None:
        self.shell.deliver_all([StopRequested()])
        limit = self.state.settings.stop_timeout / SECOND + STOP_MARGIN_S
        self.poller.timers.call_later(limit, self.begin_exit)

    def send_metrics(self) -> None:
        """Send counters and gauges to statsd."""
        self.metrics.send(self.shell.gauges())

    def begin_exit(self) -> None:
        """Stop listening; requests that are in flight are still answered."""
        if self.exiting:
            return
        self.exiting = True
        self.shell.http.stop_listening()
        self.poller.timers.call_later(EXIT_GRACE_S, self.close_idle_connections)

    def close_idle_connections(self) -> None:
        """Close idle connections and wait for the answers on the others."""
        self.shell.http.close_idle_connections()
        self.poller.timers.call_later(EXIT_ANSWER_S, self.shell.http.answer_remaining)
        self.finish_exit()

    def finish_exit(self) -> None:
        """Stop the loop when all answers are written or `EXIT_FLUSH_S` has passed."""
        self.exit_checks_left -= 1
        if self.shell.http.connections and self.exit_checks_left > 0:
            self.poller.timers.call_later(EXIT_CHECK_S, self.finish_exit)
            return
        if self.state.settings.statsd:
            self.send_metrics()
        self.shell.close()
        self.state.log_event(Stopped())
        self.shell.write_log()
        self.has_stopped = True
        self.stop()


def run(settings: Settings) -> int:
    """Run an instance until it has stopped; return the exit status."""
    log = open_log(settings.name, sys.stdout.fileno(), monotonic)
    check_descriptor_limit(settings, log)
    state = new_state(settings)
    try:
        instance = Instance(state, log)
    except OSError as error:
        log.write([StartFailed(str(error))])
        return 1
    tune_garbage_collection()
    instance.run()
    write_untyped_events(state)
    log.write([])
    return 0 if instance.has_stopped else 1


def check_descriptor_limit(settings: Settings, log: EventLog) -> None:
    """Log an event if the limit of file descriptors is below what the settings need."""
    limit = getrlimit(RLIMIT_NOFILE)[0]
    needed = settings.max_connections + RESERVED_DESCRIPTORS
    if 0 <= limit < needed:
        log.write([DescriptorLimitLow(limit, needed)])
