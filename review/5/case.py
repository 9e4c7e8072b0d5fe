"""Listed results can't be read any more once their route is removed."""

import asyncio
import copy
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "harness"))

import fleet  # noqa: E402
import rules  # noqa: E402

ITEMS = 8
EVENTS = 40
WARM_UP_S = 5.0
FINISHED_AFTER_S = 6.0
APPLY_S = 2.0
"""`ConfigApplyMs`, and longer than `SettleMs`."""
READS = 5


async def play(played: fleet.Fleet, with_trouble: bool) -> bool:
    """Removes the route of a job whose results were read before."""
    desired = fleet.configuration(1)
    # Another route of the same host stays.
    for route in desired["Routes"]:
        route["Host"] = fleet.HOST
    played.chat_host = fleet.HOST
    await played.start(desired)
    played.note("the fleet serves")
    await asyncio.sleep(WARM_UP_S)
    job = fleet.new_id()
    items = [f"{job}-{n}" for n in range(ITEMS)]
    answer = await played.submit(
        played.gateways[0],
        job,
        [fleet.make_item(i, events=EVENTS) for i in items],
    )
    if answer is None or answer.status != 202:
        raise fleet.CannotRunError("the job was not accepted")
    await asyncio.sleep(FINISHED_AFTER_S)
    if await rules.unlisted_items(played, {job: items}):
        raise fleet.CannotRunError("the job was not finished")
    if with_trouble:
        changed = copy.deepcopy(desired)
        changed["Version"] = 2
        changed["Routes"] = [
            r for r in desired["Routes"] if r["Kind"] != "batch"
        ]
        await played.platform.write("op/config", changed)
        played.note("version 2, without the batch route, is acknowledged")
    await asyncio.sleep(APPLY_S)
    gone = 0
    for _ in range(READS):
        for node in played.gateways:
            target = f"/lots/{job}?After=0"
            answer = await played.lot_call(node, "GET", target)
            status = None if answer is None else answer.status
            played.note(f"read at {node.name}: {status}")
            gone += status in (404, 410)
        await asyncio.sleep(1.0)
    return not gone


fleet.main(play, FOLDER)
