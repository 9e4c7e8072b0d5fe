"""Writes of results that gather while the store is away."""

import anyio
import job_world
import pytest

from ibisknot import batch_records
from ibisknot import result_listing

VALUE_BYTES = 1024 * 1024


async def _finish_all_while_store_is_down(world: job_world.World) -> None:
    """Finishes three items without the store, which then comes back."""
    await world.start_job()
    world.store.is_down = True
    for index in range(3):
        await world.finish_item(index)
    world.store.is_down = False
    for _ in range(10):
        await anyio.sleep(2 * result_listing.STORE_RETRY_PAUSE_S)
        if len(world.worker.jobs) == 0:
            return


@pytest.mark.parametrize("letter", ["a", "\u044f", "\u20ac", "\U0001f343"])
def test_results_of_any_letters_are_listed_after_an_outage(letter: str) -> None:
    """Guards against a value that is too large since its limit was in letters.

    The store refused it, and the same value was written again for ever.
    """

    async def scenario(world: job_world.World) -> None:
        world.store.max_value_bytes = VALUE_BYTES
        size = batch_records.max_output_bytes(VALUE_BYTES)
        world.runner.output = letter * (size // len(letter.encode()))
        await _finish_all_while_store_is_down(world)
        assert world.store.refused == 0
        assert await _states(world) == [batch_records.DONE] * 3

    job_world.run(scenario)


def test_refused_write_is_divided() -> None:
    """Guards against the same refused write without end.

    The store's limit may be below the one in the settings.
    """

    async def scenario(world: job_world.World) -> None:
        world.store.max_value_bytes = 1000
        world.runner.output = "x" * 400
        await _finish_all_while_store_is_down(world)
        assert await _states(world) == [batch_records.DONE] * 3

    job_world.run(scenario)


def test_result_that_the_store_never_takes_does_not_hold_up_others() -> None:
    """Guards against a job whose other results are never listed."""

    async def scenario(world: job_world.World) -> None:
        world.store.max_value_bytes = 1000
        await world.start_job()
        world.runner.output = "x" * 2000
        await world.finish_item(0)
        world.runner.output = "text"
        await world.finish_item(1)
        await world.finish_item(2)
        await anyio.sleep(3 * result_listing.STORE_RETRY_PAUSE_S)
        states = await _states(world)
        assert sorted(states) == sorted(
            [batch_records.FAILED, batch_records.DONE, batch_records.DONE]
        )

    job_world.run(scenario)


async def _states(world: job_world.World) -> list[str]:
    """Returns the states of the results that the store lists."""
    listing = await world.store.list_prefix(batch_records.results_prefix("j"))
    return [
        result.state
        for pair in listing.pairs
        for result in batch_records.decode_results(pair.value)
    ]


def test_results_are_not_written_again_before_the_store_may_be_back() -> None:
    """Guards against two calls every 0.3 s for each job in an outage."""

    async def scenario(world: job_world.World) -> None:
        may_retry = anyio.Event()
        world.worker.listing.wait_to_retry = may_retry.wait
        await world.start_job()
        world.store.calls.clear()
        world.store.is_down = True
        for index in range(3):
            await world.finish_item(index)
        assert world.store.calls == {"transact": 1}
        world.store.is_down = False
        may_retry.set()
        await anyio.wait_all_tasks_blocked()
        assert world.store.calls == {"transact": 2}
        assert await _states(world) == [batch_records.DONE] * 3

    job_world.run(scenario)
