"""Handing over the jobs of a worker that stops."""

import anyio
import job_world
import pytest

from ibisknot import batch_drain


def test_drain_ends_in_time_while_the_store_is_silent(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a worker that is killed while it waits for the store."""

    async def scenario(world: job_world.World) -> None:
        await world.start_job()

        async def never_answer(*_args: object, **_keywords: object) -> int:
            await anyio.sleep_forever()
            return 0

        monkeypatch.setattr(world.store, "transact", never_answer)
        with anyio.fail_after(5.0):
            await batch_drain.drain(world.worker, world.clock.now() + 0.2)

    job_world.run(scenario)


def test_drained_worker_hands_its_job_over() -> None:
    """Guards against a job that stays with a worker that has stopped."""

    async def scenario(world: job_world.World) -> None:
        await world.start_job()
        await batch_drain.drain(world.worker, world.clock.now() + 5.0)
        assert world.stored_job().owner == "w1"

    job_world.run(scenario)
