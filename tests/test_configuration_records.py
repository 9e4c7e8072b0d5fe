"""Writes of the configuration, with lost answers."""

import msgspec
import pytest
from scripted_keyvalue import DROP
from scripted_keyvalue import FAIL
from scripted_keyvalue import LOSE
from scripted_keyvalue import ScriptedKeyValue

from ibisknot import configuration
from ibisknot import configuration_records
from ibisknot import errors
from ibisknot import sections
from ibisknot.standins import standin_keyvalue

TXN = "/v3/kv/txn"
RANGE = "/v3/kv/range"


def wanted(version: int, rate: float = 1.0) -> configuration.Configuration:
    organisation = configuration.Organisation(rate_per_s=rate, burst=1.0)
    return configuration.Configuration(
        version=version, organisations={"a": organisation}
    )


async def write(
    store: ScriptedKeyValue,
    before: sections.State,
    operation: str,
    rate: float = 1.0,
) -> sections.State:
    after, _ = await configuration_records.write(
        store,
        before,
        wanted(before.head.version + 1, rate),
        operation_id=operation,
        author="tester",
        intent=b"{}",
    )
    return after


@pytest.mark.anyio
@pytest.mark.parametrize("fault", [LOSE, DROP])
async def test_lost_answer_is_resolved(fault: str) -> None:
    """Guards against a lost answer taken for a failure, or for a success."""
    store = ScriptedKeyValue()
    store.script[TXN] = [fault]
    state = await write(store, sections.empty_state(), "first")
    read, _ = await configuration_records.read_newer(
        store, sections.empty_state()
    )
    assert read == state
    assert len(await configuration_records.read_history(store)) == 1


@pytest.mark.anyio
async def test_unresolved_answer_is_unknown_and_names_the_operation(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a guess when the outcome cannot be read back."""
    monkeypatch.setattr(configuration_records, "RESOLVE_TIMEOUT_S", 0.0)
    store = ScriptedKeyValue()
    store.script[TXN] = [LOSE]
    store.script[RANGE] = ["", "", FAIL]
    with pytest.raises(errors.KeyValueUnknownError) as caught:
        await write(store, sections.empty_state(), "first")
    assert "first" in caught.value.message
    assert caught.value.ran == errors.UNKNOWN


@pytest.mark.anyio
async def test_refused_call_is_not_run() -> None:
    """Guards against `unknown` for a write that was never sent."""
    store = ScriptedKeyValue()
    store.script[TXN] = [FAIL]
    with pytest.raises(errors.KeyValueError) as caught:
        await write(store, sections.empty_state(), "first")
    assert caught.value.ran == errors.NOT_RUN


@pytest.mark.anyio
async def test_second_writer_conflicts_and_repeat_is_done() -> None:
    """Guards against two changes from one base, and a change done twice."""
    store = ScriptedKeyValue()
    state = await write(store, sections.empty_state(), "first")
    with pytest.raises(errors.ConflictError):
        await write(store, sections.empty_state(), "second", rate=2.0)
    assert await write(store, sections.empty_state(), "first") == state
    assert len(await configuration_records.read_history(store)) == 1


@pytest.mark.anyio
async def test_full_size_stays_below_the_value_limit() -> None:
    """Guards against values over 1 MB at 6,800 organisations."""
    organisations = {
        f"organisation-{number}": configuration.Organisation(
            rate_per_s=10.0,
            burst=10.0,
            keys={
                f"key-{k}": configuration.Key(f"{number * 3 + k:064x}")
                for k in range(3)
            },
        )
        for number in range(6800)
    }
    full = configuration.Configuration(version=1, organisations=organisations)
    store = ScriptedKeyValue()
    after, _ = await configuration_records.write(
        store,
        sections.empty_state(),
        full,
        operation_id="first",
        author="tester",
        intent=b"{}",
    )
    values = store.service.data.values.values()
    limit = standin_keyvalue.MAXIMUM_VALUE_BYTES
    assert max(len(value.data) for value in values) < limit
    read, _ = await configuration_records.read_newer(
        store, sections.empty_state()
    )
    assert read == after
    assert read.configuration.organisations == organisations


@pytest.mark.anyio
async def test_older_version_is_rebuilt() -> None:
    """Guards against a revert that restores the wrong content."""
    store = ScriptedKeyValue()
    state = sections.empty_state()
    seen = [state.configuration]
    for number in range(5):
        state = await write(store, state, f"op-{number}", rate=number + 1.0)
        seen.append(state.configuration)
    for version, content in enumerate(seen):
        found = await configuration_records.read_version(store, state, version)
        assert msgspec.to_builtins(found) == msgspec.to_builtins(content)
    with pytest.raises(errors.NotFoundError):
        await configuration_records.read_version(store, state, 9)
