"""Versions of the store's objects that stay ordered when the store is restored.

A store that is restored from an older copy gives out its revisions again. Its era rises
with each restore, so it is the upper part of a version: all versions of an era are
higher than those of the eras before.
"""

REVISION_BITS = 44
# A token of an era is higher than those of the eras before, which the store may have
# forgotten.
TOKEN_BITS = 20


def pack_version(era: int, revision: int) -> int:
    """Return the version of a revision that the store gave out in an era."""
    return era << REVISION_BITS | revision


def era_of(version: int) -> int:
    """Return the era of a version."""
    return version >> REVISION_BITS


def revision_of(version: int) -> int:
    """Return the store's revision of a version."""
    return version & ((1 << REVISION_BITS) - 1)


def next_token(era: int, *known: int) -> int:
    """Return a token above the known ones and above those of earlier eras."""
    return max((era << TOKEN_BITS, *known)) + 1
