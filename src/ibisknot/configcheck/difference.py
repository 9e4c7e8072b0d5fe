"""Compares two documents entry by entry."""

from collections.abc import Iterator
import dataclasses
from typing import Any

ABSENT = "absent"


@dataclasses.dataclass(slots=True, frozen=True)
class Change:
    """A value that differs.

    Attributes:
        path: Names that lead to the value, joined by dots.
        before: The value in the document that is in force, or `ABSENT`.
        after: The value in the new document, or `ABSENT`.
    """

    path: str
    before: Any
    after: Any


def compare(
    before: Any, after: Any, *, name_field: str, path: str = ""
) -> Iterator[Change]:
    """Yields the changes between two documents.

    Entries of a list are matched by their names, so that a route that moves
    in the list is no change.

    Args:
        before: The document in force.
        after: The new document.
        name_field: Field that names an entry of a list.
        path: Path of both in their documents.

    >>> old = {"Routes": [{"Name": "a", "Host": "x"}, {"Name": "b"}]}
    >>> new = {"Routes": [{"Name": "b"}, {"Name": "a", "Host": "y"}]}
    >>> [c.path for c in compare(old, new, name_field="Name")]
    ['Routes.a.Host']
    """
    before, after = _by_name(before, name_field), _by_name(after, name_field)
    if not (isinstance(before, dict) and isinstance(after, dict)):
        if before != after:
            yield Change(path, before, after)
        return
    for name in dict.fromkeys([*before, *after]):
        inner = f"{path}.{name}" if path else name
        old, new = before.get(name, ABSENT), after.get(name, ABSENT)
        yield from compare(old, new, name_field=name_field, path=inner)


def _by_name(value: Any, name_field: str) -> Any:
    """Returns a list of named entries as a table by name."""
    if not isinstance(value, list):
        return value
    names = [e.get(name_field) for e in value if isinstance(e, dict)]
    if len(names) < len(value) or None in names or len(set(names)) < len(names):
        return value
    return dict(zip(names, value, strict=True))
