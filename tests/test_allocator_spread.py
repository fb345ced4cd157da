"""How the allocators of many workspaces are spread over the instances."""

import pytest

from pimentodrift import rates

from .fleet_load import make_fleet_load
from .session_support import SECOND

INSTANCES, WORKSPACES, LIMIT = 8, 16, 3  # The limit is a quarter above the mean.


@pytest.mark.parametrize("pause", [0.0, 0.3, 1.5])
def test_instances_that_start_in_turn_share_the_roles(
    pause: float, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against an instance that allocates most workspaces for having been first.

    Calm workspaces are not refused while the roles move.
    """
    load = make_fleet_load(INSTANCES, WORKSPACES, 10.0, [pause * SECOND] * INSTANCES)
    monkeypatch.setattr(rates, "handle", load.collect)
    load.network.run(SECOND)
    load.offer(0.5, 2 * SECOND)
    assert max(load.allocators().values()) <= LIMIT
    writes = load.network.version
    load.offer(0.5, 3 * SECOND)
    assert load.network.version == writes
    assert not any(row.refused_at for row in load.outcomes)
    assert load.worst_excess() <= 1e-6
