"""Contents and messages of evacuations."""

from attrs import frozen


@frozen
class Evacuation:
    """The content of an evacuation in the store; only its existence matters."""
