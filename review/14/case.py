"""A part of a prompt crashes engines as they begin to write the answer.

Each engine that runs a request with the part sends the head and the first
event of its answer and then crashes; it is back after two seconds. With
TROUBLE=0 the same requests come and no engine crashes. EVENTS=0 lets the
engines crash before the first event.
"""

import asyncio
import os
import pathlib
import random
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "harness-3"))

import fleet  # noqa: E402
import wire  # noqa: E402

ENGINES = 9
BAD_PART = "badbad01"
BAD_PERIOD_S = 1.0
SOUND_PERIOD_S = 0.1
PLAY_S = 40.0
DOWN_S = 2.0
CONTACT_S = 3.0
"""Bound `ContactMs` of the site."""
FIRST_CRASHES = 5
MAX_LATE = 3
"""The rule: not more than three after `ContactMs` from the fifth crash."""


class Crashing(fleet.Engine):
    """An engine that crashes as it begins to write on the part.

    Attributes:
        crashes: Times of the crashes of all engines.
        bad_runs: Time, engine and id of the requests with the part that
            reached an engine.
        trouble: Whether the part crashes engines.
        events_before: Events that are sent before the crash.
    """

    crashes: list[float]
    bad_runs: list[tuple[float, str, str]]
    trouble = True
    events_before = 1

    def __init__(self, name: str, address: str) -> None:
        super().__init__(name, address)
        self.writers: set[asyncio.StreamWriter] = set()

    async def handle(
        self, request: wire.Request, writer: asyncio.StreamWriter
    ) -> bool:
        """Answers one request, if the process runs."""
        if self.server is None:
            writer.transport.abort()
            return False
        self.writers.add(writer)
        return await super().handle(request, writer)

    async def run(
        self, request: wire.Request, writer: asyncio.StreamWriter
    ) -> bool:
        """Sends events, or the first of them and crashes."""
        parts = request.headers.get("x-ibisknot-prompt-prefix", "")
        if BAD_PART not in parts:
            return await super().run(request, writer)
        run_id = request.headers.get("x-ibisknot-request-id", "")
        self.bad_runs.append((time.monotonic(), self.name, run_id))
        if not self.trouble:
            return await super().run(request, writer)
        if self.events_before:
            headers = self.base_headers(request) | {
                "X-Ibisknot-Response-Stamp": "3e1b.07.5a2.600.0.c9f2a4d1",
                "Content-Type": "text/event-stream",
                "Transfer-Encoding": "chunked",
            }
            lines = ["HTTP/1.1 200 OK"]
            lines += [f"{k}: {v}" for k, v in headers.items()]
            event = self.event(request, 1)
            writer.write("\r\n".join([*lines, "", ""]).encode())
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
        await asyncio.sleep(0.02)
        await self.crash()
        return False

    async def crash(self) -> None:
        """Ends all connections and the listener; starts again later."""
        if self.server is None:
            return
        self.crashes.append(time.monotonic())
        self.server.close()
        self.server = None
        for writer in self.writers:
            writer.transport.abort()
        self.writers.clear()
        asyncio.get_running_loop().call_later(DOWN_S, self._restart)

    def _restart(self) -> None:
        self.born_ms = int(time.time() * 1000)
        self.seq = 0
        self.task = asyncio.create_task(self.start())


async def send(
    deployment: fleet.Fleet, parts: str, outcomes: dict[str, int]
) -> None:
    """Sends one request, and counts how it ended."""
    nodes = [n for n in deployment.nodes.values() if n.kind == "front"]
    answer = await deployment.chat(
        random.choice(nodes), X_Ibisknot_Prompt_Prefix=parts
    )
    outcome = str(answer.status) + ("" if answer.complete else " broken off")
    outcomes[outcome] = outcomes.get(outcome, 0) + 1


async def every(
    deployment: fleet.Fleet,
    period_s: float,
    part: str,
    outcomes: dict[str, int],
) -> None:
    """Sends requests, no two alike, that share the key and the first part."""
    end_s = time.monotonic() + PLAY_S
    async with asyncio.TaskGroup() as tasks:
        while time.monotonic() < end_s:
            own = f"{random.getrandbits(40):x}"
            second = part or f"c{random.randrange(8)}"
            parts = f"a1a1a1:100,{second}:100,{own}:250"
            tasks.create_task(send(deployment, parts, outcomes))
            await asyncio.sleep(period_s)


async def run(deployment: fleet.Fleet) -> int:
    """Plays the case; returns the exit code."""
    fleet.Engine = Crashing
    Crashing.crashes = []
    Crashing.bad_runs = []
    Crashing.trouble = os.environ.get("TROUBLE", "1") != "0"
    Crashing.events_before = int(os.environ.get("EVENTS", "1"))
    state = fleet.desired_state()
    await deployment.start(gateways=3, workers=3, engines=ENGINES, state=state)
    bad: dict[str, int] = {}
    sound: dict[str, int] = {}
    await asyncio.gather(
        every(deployment, SOUND_PERIOD_S, "", sound),
        every(deployment, BAD_PERIOD_S, BAD_PART, bad),
    )
    start_s = deployment.started_s
    for when_s, engine, run_id in Crashing.bad_runs:
        deployment.note(
            f"request {run_id} with the part reached {engine}"
            f" at {when_s - start_s:.3f}"
        )
    deployment.note(
        "crashes at " + " ".join(f"{c - start_s:.1f}" for c in Crashing.crashes)
    )
    deployment.note(f"answers with the part: {bad}")
    deployment.note(f"other answers: {sound}")
    if len(Crashing.crashes) < FIRST_CRASHES:
        deployment.note("HELD: fewer than five crashes")
        return 0
    from_s = Crashing.crashes[FIRST_CRASHES - 1] + CONTACT_S
    late = [r for r in Crashing.bad_runs if r[0] > from_s]
    deployment.note(
        f"{len(late)} requests with the part reached engines later than"
        f" ContactMs after the fifth crash; {MAX_LATE} are allowed"
    )
    if len(late) > MAX_LATE:
        deployment.note("BROKEN: BUDGET")
        return 1
    deployment.note("HELD")
    return 0


def main() -> int:
    """Runs the case in its own deployment."""
    deployment = fleet.Fleet(HERE / "record.txt")
    return fleet.play(deployment, run(deployment))


if __name__ == "__main__":
    sys.exit(main())
