"""Says whether peers are in the data centre of this process."""

from collections.abc import Callable

from ibisknot import fleetview

OWN = "own"
OTHER = "other"
UNKNOWN = "unknown"

ScopeOf = Callable[[str], str]
"""Returns the scope of a peer address: `own`, `other` or `unknown`."""


def compare(own: str, other: str) -> str:
    """Returns the scope of a data centre.

    >>> compare("a", "a"), compare("a", "b"), compare("a", "")
    ('own', 'other', 'unknown')
    """
    if not own or not other:
        return UNKNOWN
    return OWN if own == other else OTHER


def unknown(_address: str) -> str:
    """Returns that the data centre of a peer is not known."""
    return UNKNOWN


def of_members(view: fleetview.View, own: str) -> ScopeOf:
    """Returns a function that finds the scope of members' addresses.

    Args:
        view: The fleet view; each adopted listing is a new mapping.
        own: Data centre of this process.
    """
    known = view.members
    scopes: dict[str, str] = {}

    def scope_of(address: str) -> str:
        nonlocal known, scopes
        if known is not view.members or not scopes:
            known = view.members
            scopes = {
                m.address: compare(own, m.data_centre) for m in known.values()
            }
        return scopes.get(address, UNKNOWN)

    return scope_of
