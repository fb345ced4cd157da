"""Builds workspaces, keys and open routes from the published manifest and its pieces.

A manifest takes effect only when all its pieces are present, so that a publication is
applied as a whole or not at all. Its version must also be higher than that of the
current configuration, so that the configuration never reverts to an older one.
"""

from datetime import timedelta
from typing import Any

from .dispatch import handle
from .messages import Durability
from .notices import ConfigurationChanged
from .tables import Configuration, KeyRow, OpenRoute, State, WorkspaceRow

# Hex digits of a key's digest that identify it in messages, logs and dumps.
KEY_ID_LENGTH = 12


def apply_newest_manifest(state: State) -> None:
    """Apply the manifest if it is newer and all its pieces are present."""
    manifest = state.view.objects.get(("manifest", "current"))
    if manifest is None or manifest.value is None:
        return
    if manifest.version <= state.configuration.version:
        return
    pieces: list[dict[str, Any]] = []
    for name in manifest.value["pieces"]:
        piece = state.view.objects.get(("piece", name))
        if piece is None or piece.value is None:
            return
        pieces.append(piece.value)
    state.configuration = build(manifest.value["publication"], manifest.version, pieces)
    state.counters["configuration.applied"] += 1
    state.events.append(
        (
            "configuration_applied",
            {
                "publication": state.configuration.publication,
                "version": manifest.version,
            },
        )
    )
    handle(ConfigurationChanged(), state)


def build(
    publication: str, version: int, pieces: list[dict[str, Any]]
) -> Configuration:
    """Return the configuration that the pieces of a publication declare together."""
    result = Configuration(publication=publication, version=version)
    for piece in pieces:
        for name, declared in piece["workspaces"].items():
            add_workspace(result, name, declared)
    result.key_ids = frozenset(row.key_id for row in result.keys.values())
    result.key_holders = frozenset(
        (row.key_id, row.workspace) for row in result.keys.values()
    )
    return result


def add_workspace(result: Configuration, name: str, declared: dict[str, Any]) -> None:
    """Add a declared workspace, its keys and its open routes to a configuration."""
    result.workspaces[name] = WorkspaceRow(
        name=name,
        rate=float(declared["rate"]),
        burst=float(declared["burst"]),
        share=float(declared.get("share", 1.0)),
        groups=frozenset(declared["groups"]),
        durability=Durability(declared.get("durability", Durability.MAJORITY)),
        max_ages={
            group: timedelta(milliseconds=age)
            for group, age in declared.get("stale_reads", {}).items()
        },
        regions=frozenset(declared.get("regions", ())),
    )
    for digest in declared.get("keys", []):
        result.keys[digest] = KeyRow(digest, digest[:KEY_ID_LENGTH], name)
    for route_name, route in declared.get("open_routes", {}).items():
        result.open_routes[route_name] = (
            name,
            OpenRoute(
                name=route_name,
                group=route["group"],
                statement=route["statement"],
                max_age=timedelta(milliseconds=route.get("max_age_ms", 0)),
                regions=frozenset(route.get("regions", ())),
            ),
        )
