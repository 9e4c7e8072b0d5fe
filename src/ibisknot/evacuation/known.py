"""Which data centres are evacuated, as far as one process knows.

"The store" is the platform's key-value service. What is known is the whole set
at one of its revisions, so that what comes from the store and from peers can be
compared. The functions do no input or output.
"""

from collections.abc import Iterable
import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class Known:
    """The evacuated data centres at one revision of the store.

    Attributes:
        revision: The store's revision up to which they are known.
        data_centres: Names of the evacuated data centres.
        was_seen: Whether an evacuation was ever seen. Peers are told nothing
            before.
    """

    revision: int = 0
    data_centres: frozenset[str] = frozenset()
    was_seen: bool = False


def after_change(
    known: Known, data_centre: str, revision: int, *, is_evacuated: bool
) -> Known:
    """Returns what is known after one change in the store.

    Changes of one transaction have the same revision, so that one of the known
    revision still counts.

    >>> known = after_change(Known(), "a", 5, is_evacuated=True)
    >>> known = after_change(known, "b", 5, is_evacuated=True)
    >>> known = after_change(known, "a", 4, is_evacuated=False)
    >>> sorted(known.data_centres)
    ['a', 'b']
    """
    if revision < known.revision:
        return known
    names = known.data_centres - {data_centre}
    if is_evacuated:
        names |= {data_centre}
    return Known(revision, names, was_seen=True)


def after_listing(
    known: Known, data_centres: Iterable[str], revision: int
) -> Known:
    """Returns what is known after a read of all orders in the store.

    An order that is missing was taken back, also while nobody watched.

    >>> known = after_change(Known(), "a", 5, is_evacuated=True)
    >>> after_listing(known, [], 4).data_centres
    frozenset({'a'})
    >>> after_listing(known, [], 6)
    Known(revision=6, data_centres=frozenset(), was_seen=True)
    """
    if revision < known.revision:
        return known
    names = frozenset(data_centres)
    return Known(revision, names, known.was_seen or bool(names))


def after_update(
    known: Known, data_centres: Iterable[str], revision: int
) -> Known:
    """Returns what is known after an update of a peer.

    An older update shows that an evacuation was once seen, so that its sender
    is to be told what is known here.

    >>> known = after_listing(Known(), [], 9)
    >>> after_update(known, ["a"], 7)
    Known(revision=9, data_centres=frozenset(), was_seen=True)
    """
    if revision <= known.revision:
        return dataclasses.replace(known, was_seen=True)
    return Known(revision, frozenset(data_centres), was_seen=True)
