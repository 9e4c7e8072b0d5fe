"""The platform's names occur in its adapter alone."""

import pathlib
import re

import pytest

ROOT = pathlib.Path(__file__).parent.parent / "src" / "ibisknot"
ADAPTER = ROOT / "platform"
WORDS = re.compile(
    r"kv-(txn|watch|lease|range|key|keep)|[Xx]-[Ii]bisknot-|MaxCount"
    r"|TargetLatencyMs|StoreRevision|ColdRemainingMs|ExpectedRev|Tombstone"
    r"|MaxAttempts|RatePerS|ApiKeys|CompletionTargetMs|\bLots?\b|/lots/"
    r"|\btenants?\b|op/config|servers/"
)
SOURCES = [
    path
    for path in sorted(ROOT.rglob("*.py"))
    if ADAPTER not in path.parents and not path.name.startswith("standin")
]


@pytest.mark.parametrize("path", SOURCES, ids=lambda path: path.name)
def test_no_platform_word_outside_the_adapter(path: pathlib.Path) -> None:
    """Guards against the platform's names spreading through the product."""
    text = path.read_text(encoding="utf-8")
    found = [match.group() for match in WORDS.finditer(text)]
    assert found == []


def test_adapter_decides_nothing() -> None:
    """Guards against time, chance and waiting in the adapter."""
    for path in sorted(ADAPTER.glob("*.py")):
        text = path.read_text(encoding="utf-8")
        for name in ("import random", "import time", "anyio.sleep"):
            assert name not in text, f"{path.name}: {name}"
