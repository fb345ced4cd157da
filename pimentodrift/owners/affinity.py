"""Sends the reads of a workspace to the same replica of a group where it can.

Answers to endpoints with fewer connections than there are workspaces: if each replica
served all workspaces, the owner would close a connection for almost each new one.
"""

from datetime import timedelta

from .. import registry
from ..rendezvous import weight
from ..session_rows import RegistryRow
from ..tables import State
from .positions import is_replica

# Cost of an endpoint that probably has no connection of the workspace: the set-up of a
# connection in the endpoint's data centre, which also takes a slot.
DETOUR = timedelta(milliseconds=60)


def detour(row: RegistryRow, workspace: str, state: State) -> timedelta:
    """Return the cost of an endpoint that isn't the workspace's own for reads."""
    return timedelta(0) if row.name == preferred(row, workspace, state) else DETOUR


def preferred(row: RegistryRow, workspace: str, state: State) -> str:
    """Return the replica of an endpoint's group that a workspace's reads go to."""
    rows = [
        item
        for item in registry.group_members(row.entry.group, state)
        if is_replica(item, state) and registry.accepts_work(item, False, state)
    ]
    names = [item.name for item in rows]
    return max(names, key=lambda name: weight(workspace, name), default="")
