"""Combines the region limits of a route and a workspace, without state.

A limit is a set of regions; the empty set declares no limit. A combined limit is None
where nothing is limited, so that an empty intersection stays distinct from it.
"""

from collections.abc import Iterable

REGION_SEPARATOR = ","
VALUE_SEPARATOR = "="

Regions = frozenset[str]


def combine(limits: Iterable[Regions]) -> Regions | None:
    """Return the regions that all declared limits allow, or None without a limit."""
    declared = [limit for limit in limits if limit]
    return frozenset.intersection(*declared) if declared else None


def is_allowed(region: str, limit: Regions | None) -> bool:
    """Return whether a region is allowed; an unknown one ("") only without a limit."""
    return limit is None or (bool(region) and region in limit)


def parse_regions(text: str) -> dict[str, str]:
    """Return regions by data centre from `DATA_CENTRE=REGION,...`.

    Raise ValueError if a part lacks a name, or if a data centre has two regions.
    """
    regions: dict[str, str] = {}
    for part in text.split(REGION_SEPARATOR) if text else ():
        data_centre, separator, region = part.partition(VALUE_SEPARATOR)
        if not (data_centre and separator and region) or VALUE_SEPARATOR in region:
            raise ValueError(f"not DATA_CENTRE=REGION: {part!r}")
        if regions.setdefault(data_centre, region) != region:
            raise ValueError(f"two regions of {data_centre}")
    return regions


def format_regions(limit: Regions) -> str:
    """Return a limit as the text of a refusal shows it."""
    return ", ".join(sorted(limit)) or "none"
