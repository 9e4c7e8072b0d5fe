"""Results that gather while the store is down are never listed.

The limit on the size of one value counts characters, not bytes.
"""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "harness"))

import fleet  # noqa: E402
import rules  # noqa: E402

ENGINES = 9
ITEMS = 200
EVENTS = 59
EVENT_S = 0.03
EVENT_SPREAD_S = 0.001
TEXT = "Кецкемет, лот, лист, влажность, вес, цвет, сорт, цена; склад Солнок, "
"""Text of an event; most of its letters have two bytes in UTF-8."""
TEXT_CHARS = 105
WARM_UP_S = 5.0
OUTAGE_AFTER_S = 1.0
OUTAGE_S = 4.5


def make_text(request_id: str, number: int) -> str:
    """Returns the data of an event."""
    return f"{number}: {TEXT * 2}"[:TEXT_CHARS]


async def play(played: fleet.Fleet, with_trouble: bool) -> bool:
    """Takes the store down while the items of one job are finished."""
    await played.start(fleet.configuration(1), engines=ENGINES)
    for number, made in enumerate(played.engines):
        made.make_text = make_text
        made.event_s = EVENT_S + number * EVENT_SPREAD_S
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
    await asyncio.sleep(OUTAGE_AFTER_S)
    if with_trouble:
        played.platform.is_down = True
        played.note("the store is down")
        await asyncio.sleep(OUTAGE_S)
        played.platform.is_down = False
        played.note("the store is back")
    await asyncio.sleep(rules.FINISH_S + rules.CALM_S)
    unlisted = await rules.unlisted_items(played, {job: items})
    whole = {r.request_id for e in played.engines for r in e.runs if r.is_whole}
    played.note(f"items that engines have finished: {len(whole & set(items))}")
    sizes = played.platform.refused_sizes
    played.note(f"values over ValueBytes: {len(sizes)}, the last: {sizes[-1:]}")
    played.note(f"items neither done nor errored: {len(unlisted)}")
    return not (unlisted and rules.finish_rule_applies(played, unlisted))


fleet.main(play, FOLDER)
