"""Writes of the configuration, also when their answers are lost."""

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
    key_value: ScriptedKeyValue,
    before: sections.State,
    operation_id: str,
    rate: float = 1.0,
) -> sections.State:
    after, _ = await configuration_records.write(
        key_value,
        before,
        wanted(before.head.version + 1, rate),
        operation_id=operation_id,
        author="tester",
        intent=b"{}",
    )
    return after


@pytest.mark.anyio
@pytest.mark.parametrize("fault", [LOSE, DROP])
async def test_lost_answer_is_resolved(fault: str) -> None:
    """Guards against a lost answer that counts as a failure or a success."""
    key_value = ScriptedKeyValue()
    key_value.script[TXN] = [fault]
    state = await write(key_value, sections.empty_state(), "first")
    read, _ = await configuration_records.read_newer(
        key_value, sections.empty_state()
    )
    assert read == state
    assert len(await configuration_records.read_history(key_value)) == 1


@pytest.mark.anyio
async def test_unresolved_answer_is_unknown_and_names_the_operation(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a definite error when the outcome is not known."""
    monkeypatch.setattr(configuration_records, "RESOLVE_TIMEOUT_S", 0.0)
    key_value = ScriptedKeyValue()
    key_value.script[TXN] = [LOSE]
    key_value.script[RANGE] = ["", "", FAIL]
    with pytest.raises(errors.KeyValueUnknownError) as caught:
        await write(key_value, sections.empty_state(), "first")
    assert "first" in caught.value.message
    assert caught.value.ran == errors.UNKNOWN


@pytest.mark.anyio
async def test_refused_call_is_not_run() -> None:
    """Guards against `unknown` as the outcome of a write that was not sent."""
    key_value = ScriptedKeyValue()
    key_value.script[TXN] = [FAIL]
    with pytest.raises(errors.KeyValueError) as caught:
        await write(key_value, sections.empty_state(), "first")
    assert caught.value.ran == errors.NOT_RUN


@pytest.mark.anyio
async def test_second_writer_conflicts_and_repeat_is_done() -> None:
    """Guards against two changes of one version, and a repeated change."""
    key_value = ScriptedKeyValue()
    state = await write(key_value, sections.empty_state(), "first")
    with pytest.raises(errors.ConflictError):
        await write(key_value, sections.empty_state(), "second", rate=2.0)
    assert await write(key_value, sections.empty_state(), "first") == state
    assert len(await configuration_records.read_history(key_value)) == 1


@pytest.mark.anyio
async def test_full_size_stays_below_the_value_limit() -> None:
    """Guards against stored values over 1 MB at 6,800 organisations."""
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
    key_value = ScriptedKeyValue()
    after, _ = await configuration_records.write(
        key_value,
        sections.empty_state(),
        full,
        operation_id="first",
        author="tester",
        intent=b"{}",
    )
    values = key_value.service.database.values.values()
    limit = standin_keyvalue.MAX_VALUE_BYTES
    assert max(len(value.data) for value in values) < limit
    read, _ = await configuration_records.read_newer(
        key_value, sections.empty_state()
    )
    assert read == after
    assert read.configuration.organisations == organisations


@pytest.mark.anyio
async def test_older_version_is_rebuilt() -> None:
    """Guards against a revert that restores the wrong content."""
    key_value = ScriptedKeyValue()
    state = sections.empty_state()
    contents = [state.configuration]
    for number in range(5):
        state = await write(key_value, state, f"op-{number}", rate=number + 1.0)
        contents.append(state.configuration)
    for version, content in enumerate(contents):
        found = await configuration_records.read_version(
            key_value, state, version
        )
        assert msgspec.to_builtins(found) == msgspec.to_builtins(content)
    with pytest.raises(errors.NotFoundError):
        await configuration_records.read_version(key_value, state, 9)
