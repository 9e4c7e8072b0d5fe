"""Checks that the platform's names occur only in its adapter."""

import pathlib
import re

import pytest

ROOT = pathlib.Path(__file__).parent.parent / "src" / "ibisknot"
ADAPTER = ROOT / "platform"
WORDS = re.compile(
    r"kv-(txn|watch|lease|range|key|keep)|[Xx]-[Ii]bisknot-|MaxCount"
    r"|TargetLatencyMs|StoreRevision|ColdRemainingMs|ExpectedRev|Tombstone"
    r"|MaxAttempts|RatePerS|ApiKeys|CompletionTargetMs|\bLots?\b|/lots/"
    r"|\btenants?\b|op/config|servers/|op/evacuate|EvacMs|ColdStartS|ColdPerS"
    r"|ColdOverage|ColdSlack|AllowedRegions"
)
SOURCES = [
    path
    for path in sorted(ROOT.rglob("*.py"))
    if ADAPTER not in path.parents and not path.name.startswith("standin")
]


@pytest.mark.parametrize("path", SOURCES, ids=lambda path: path.name)
def test_no_platform_word_outside_the_adapter(path: pathlib.Path) -> None:
    """Guards against use of the platform's names outside its adapter."""
    text = path.read_text(encoding="utf-8")
    found = [match.group() for match in WORDS.finditer(text)]
    assert found == []


def test_adapter_decides_nothing() -> None:
    """Guards against decisions in the adapter by time, chance or waiting."""
    for path in sorted(ADAPTER.glob("*.py")):
        text = path.read_text(encoding="utf-8")
        for name in ("import random", "import time", "anyio.sleep"):
            assert name not in text, f"{path.name}: {name}"
