"""Refusal at once against waiting, under the load that it is made for."""

import heapq
import random
from typing import Any

import anyio
import fake_fleet

from ibisknot import overload
from ibisknot import scheduler
from ibisknot.gen.fleet import ttypes

SLOTS = 16
HOLD_S = 0.7
OBJECTIVE_S = 0.3
DEADLINE_S = 5.0
WAVE_S = 5.2
"""Waves of 2.2 s at five times the trough, a third over the slots."""
RATE_TROUGH = 6.0
RATE_WAVE = 30.0
LENGTH_S = 52.0

State = ttypes.PlaceState


class _Play:
    """Callers that come in waves, come back once, and what they get.

    Attributes:
        begun: Time from the attempt that was served to its place.
        refused_late: Refusals after more than a quarter of the objective.
        lost: Callers that were refused twice.
    """

    def __init__(self, *, refuses: bool) -> None:
        self.clock = fake_fleet.Clock(0.0)
        self.group = fake_fleet.TaskGroup()
        self.view = fake_fleet.view(endpoints=2)
        self.view.endpoints = {
            name: fake_fleet.endpoint(name, slots=SLOTS // 2)
            for name in ("e0", "e1")
        }
        self.made = scheduler.Scheduler(
            "w0",
            self.view,
            fake_fleet.Peers(),  # type: ignore[arg-type]
            self.clock,  # type: ignore[arg-type]
            self.group,  # type: ignore[arg-type]
            rng=random.Random(3),
        )
        self.objective_s = OBJECTIVE_S if refuses else 1e9
        self.events: list[tuple[float, int, str, Any]] = []
        self.began: dict[str, float] = {}
        self.begun: list[float] = []
        self.refused_late = 0
        self.lost = 0
        self.number = 0

    def push(self, at_s: float, kind: str, what: Any) -> None:
        """Adds an event."""
        self.number += 1
        heapq.heappush(self.events, (at_s, self.number, kind, what))

    async def ask(self, caller: int, attempt: int, now: float) -> None:
        """One attempt of a caller."""
        ask = ttypes.PlaceAsk(
            id=f"{caller}/{attempt}",
            group="s",
            kind="online",
            organisation="o",
            tokens=1,
            prompt_tokens=1,
            blocks=[],
            holder="g0:1",
            wait_s=DEADLINE_S,
            waited_s=0.0,
            suspect=False,
            avoid=[],
            rate_per_s=0.0,
            burst=0.0,
            due_s=1e9,
            needs_s=0.0,
            objective_s=self.objective_s,
            fingerprint=caller,
        )
        self.began[ask.id] = now
        answer = await self.made.on_request(ask)
        if answer.state == State.GRANTED:
            self.grant(ask.id, now)
        elif answer.state == State.OVERLOADED:
            self.refuse(ask.id, answer.retry_after_s, now)

    def grant(self, number: str, now: float) -> None:
        """A place was given out."""
        self.begun.append(now - self.began[number])
        self.push(now + HOLD_S, "end", number)

    def refuse(self, number: str, retry_s: float, now: float) -> None:
        """An attempt was refused."""
        caller, attempt = (int(part) for part in number.split("/"))
        if now - self.began[number] > OBJECTIVE_S / 4:
            self.refused_late += 1
        if attempt:
            self.lost += 1
        else:
            self.push(now + retry_s, "ask", (caller, 1))

    async def run(self) -> None:
        """Plays the waves."""
        choice = random.Random(7)
        at_s, caller = 0.0, 0
        while at_s < LENGTH_S:
            in_wave = at_s % WAVE_S > WAVE_S - 2.2
            at_s += choice.expovariate(RATE_WAVE if in_wave else RATE_TROUGH)
            self.push(at_s, "ask", (caller, 0))
            caller += 1
        self.callers = caller
        while self.events:
            now, _, kind, what = heapq.heappop(self.events)
            self.clock.time_s = now
            if kind == "ask":
                await self.ask(what[0], what[1], now)
            else:
                await self.made.on_released(
                    ttypes.PlaceReturned(
                        group="s", id=what, endpoint="", outcome="ok"
                    )
                )
            await self.made.tick(now)
            for _, (_, method, answer) in self.group.tasks:
                if method != "place_answer":
                    continue
                if answer.state == State.GRANTED:
                    self.grant(answer.id, now)
                else:
                    self.refuse(answer.id, answer.retry_after_s, now)
            self.group.tasks.clear()


def _play(*, refuses: bool) -> _Play:
    play = _Play(refuses=refuses)
    anyio.run(play.run)
    return play


def test_callers_of_a_wave_are_better_off_with_a_refusal_at_once() -> None:
    """Guards against a wave that makes all its callers late."""
    waits = _play(refuses=False)
    refuses = _play(refuses=True)
    on_time = [s for s in refuses.begun if s <= OBJECTIVE_S]
    on_time_waiting = [s for s in waits.begun if s <= OBJECTIVE_S]
    assert len(on_time) > 1.1 * len(on_time_waiting)
    assert refuses.lost <= 0.02 * refuses.callers
    assert refuses.refused_late == 0


def test_no_caller_is_refused_while_a_place_is_free() -> None:
    """Guards against refusals that an idle endpoint could have taken."""
    holding = overload.HoldTime(HOLD_S)
    assert not overload.would_miss_objective(
        holding, queued=0, slots=SLOTS, remaining_objective_s=OBJECTIVE_S
    )
