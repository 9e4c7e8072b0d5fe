"""Finds the lines of a JSON document's values."""

from collections.abc import Callable
import dataclasses
import json
from json import decoder
from json import scanner
from typing import Any

Path = tuple[str | int, ...]
"""Names and indexes that lead to a value."""


@dataclasses.dataclass(slots=True)
class _Located:
    """A decoded value and the offset of its first character."""

    value: Any
    offset: int


class _Decoder(json.JSONDecoder):
    """Decodes each value of an object or array with its offset."""

    def __init__(self) -> None:
        super().__init__()

        def parse_object(
            start: Any, strict: bool, scan: Any, *rest: Any
        ) -> Any:
            return decoder.JSONObject(start, strict, _locate(scan), *rest)  # type: ignore[attr-defined]

        def parse_array(start: Any, scan: Any, *rest: Any) -> Any:
            return decoder.JSONArray(start, _locate(scan), *rest)  # type: ignore[attr-defined]

        self.parse_object = parse_object
        self.parse_array = parse_array
        # Only the scanner in Python calls the functions above.
        self.scan_once = scanner.py_make_scanner(self)  # type: ignore[attr-defined]


def _locate(
    scan: Callable[[str, int], tuple[Any, int]],
) -> Callable[[str, int], tuple[_Located, int]]:
    def scan_located(text: str, offset: int) -> tuple[_Located, int]:
        value, end = scan(text, offset)
        return _Located(value, offset), end

    return scan_located


def lines(text: str) -> dict[Path, int]:
    """Returns the line of each value of a JSON document, by its path.

    Raises:
        JSONDecodeError: The text is not JSON.

    >>> found = lines('{"Routes": [' + chr(10) + '{"Name": "a"}]}')
    >>> found[("Routes", 0, "Name")], found[()]
    (2, 1)
    """
    found: dict[Path, int] = {(): 1}

    def walk(path: Path, value: Any) -> None:
        children = []
        if isinstance(value, dict):
            children = list(value.items())
        elif isinstance(value, list):
            children = list(enumerate(value))
        for name, located in children:
            found[(*path, name)] = text.count("\n", 0, located.offset) + 1
            walk((*path, name), located.value)

    walk((), _Decoder().decode(text))
    return found


def nearest(found: dict[Path, int], path: Path) -> int:
    """Returns the line of a value, or of what it is missing in."""
    while path not in found:
        path = path[:-1]
    return found[path]
