"""An item whose header isn't Latin-1 ends the worker that runs it, again."""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "harness"))

import fleet  # noqa: E402
import rules  # noqa: E402

SOUND_JOBS = 19
ITEMS = 4
EVENTS = 40
WARM_UP_S = 5.0
OTHER = {"Name": "two", "ApiKeys": ["key-two"]}
HEADER = "X-Lot-Name"
PLAIN_NAME = "Gyujto terulet"
HUNGARIAN_NAME = "Gy\u0171jt\u0151 ter\u00fclet"


async def play(played: fleet.Fleet, with_trouble: bool) -> bool:
    """Submits sound jobs and one item with a Hungarian name in a header."""
    tenants = [{"Name": fleet.TENANT, "ApiKeys": [fleet.KEY]}, OTHER]
    await played.start(fleet.configuration(1, tenants=tenants))
    played.note("the fleet serves")
    await asyncio.sleep(WARM_UP_S)
    # Online, the same header is passed on as the bytes that a caller sends.
    online = {HEADER: HUNGARIAN_NAME.encode().decode("latin-1")}
    answer = await played.chat(played.gateways[0], extra=online)
    status = None if answer is None else answer.status
    played.note(f"an online request with {HEADER} {HUNGARIAN_NAME}: {status}")
    name = HUNGARIAN_NAME if with_trouble else PLAIN_NAME
    odd = fleet.new_id()
    item = fleet.make_item(f"{odd}-0", headers={HEADER: name})
    answer = await played.submit(played.gateways[0], odd, [item], key="key-two")
    if answer is None or answer.status != 202:
        played.note("the odd job was not accepted, so it may not harm others")
    jobs = {}
    for number in range(SOUND_JOBS):
        job = fleet.new_id()
        jobs[job] = [f"{job}-{n}" for n in range(ITEMS)]
        items = [fleet.make_item(i, events=EVENTS) for i in jobs[job]]
        node = played.gateways[number % len(played.gateways)]
        answer = await played.submit(node, job, items)
        if answer is None or answer.status != 202:
            raise fleet.CannotRunError("a sound job was not accepted")
    await asyncio.sleep(rules.FINISH_S + rules.CALM_S)
    unlisted = await rules.unlisted_items(played, jobs)
    ends = {w.name: len(w.exits) for w in played.workers}
    played.note(f"processes that ended by themselves: {ends}")
    played.note(f"sound items without a result: {len(unlisted)}")
    return not (unlisted and rules.finish_rule_applies(played, unlisted))


fleet.main(play, FOLDER)
