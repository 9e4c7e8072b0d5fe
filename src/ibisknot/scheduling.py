"""Which job's item runs next: pure decisions over the jobs at hand."""

from collections.abc import Callable
import dataclasses

SHARE_PERIOD = 4
"""Every so many choices one goes to the worst-served organisation."""
MARGIN_FRACTION = 0.2
"""Part of a job's time below which its slack counts as short."""
MARGIN_MINIMUM_S = 5.0
RATE_GAIN = 0.3
"""Weight of the newest period in the measured rate."""


@dataclasses.dataclass(slots=True)
class Candidate:
    """A job that has items ready to run.

    Attributes:
        job: Its id.
        organisation: Whose it is.
        accepted_s: When it was accepted.
        deadline_s: When it is due.
        remaining: Items without a result.
    """

    job: str
    organisation: str
    accepted_s: float
    deadline_s: float
    remaining: int


@dataclasses.dataclass(slots=True)
class State:
    """What the choice depends on besides the candidates.

    Attributes:
        rate_per_s: Items a second that this process gets through, or 0 when
            not known.
        served: Items run so far by organisation.
        turn: Number of choices made.
    """

    rate_per_s: float = 0.0
    served: dict[str, int] = dataclasses.field(default_factory=dict)
    turn: int = 0


Choose = Callable[[list[Candidate], State, float], Candidate | None]


def slack_s(candidate: Candidate, state: State, now_s: float) -> float:
    """Returns the time left over if the job ran alone from now on.

    >>> slack_s(Candidate("j", "o", 0.0, 60.0, 100), State(rate_per_s=10), 0.0)
    50.0
    """
    work_s = 0.0
    if state.rate_per_s > 0:
        work_s = candidate.remaining / state.rate_per_s
    return candidate.deadline_s - now_s - work_s


def margin_s(candidate: Candidate) -> float:
    """Returns the slack below which a job counts as short of time."""
    window_s = candidate.deadline_s - candidate.accepted_s
    return max(MARGIN_MINIMUM_S, MARGIN_FRACTION * window_s)


def at_risk(
    candidates: list[Candidate], state: State, now_s: float
) -> set[str]:
    """Returns the jobs that will be late if work goes on as it does now.

    Jobs that are due earlier run before; so their work counts too.
    """
    late: set[str] = set()
    if state.rate_per_s <= 0:
        return late
    ahead = 0
    for candidate in sorted(candidates, key=lambda c: c.deadline_s):
        ahead += candidate.remaining
        if now_s + ahead / state.rate_per_s > candidate.deadline_s:
            late.add(candidate.job)
    return late


def finish_s(
    candidates: list[Candidate], state: State, job: str, now_s: float
) -> float | None:
    """Returns the estimated finish of a job, or None when unknown."""
    if state.rate_per_s <= 0:
        return None
    ahead = 0
    for candidate in sorted(candidates, key=lambda c: c.deadline_s):
        ahead += candidate.remaining
        if candidate.job == job:
            return now_s + ahead / state.rate_per_s
    return None


def has_room(candidates: list[Candidate], state: State, now_s: float) -> bool:
    """Returns whether work may run out of order and make no job late.

    Every job must end well before its deadline with all the work that is due
    before it. Jobs that cannot be saved do not count.
    """
    if state.rate_per_s <= 0:
        return False
    ahead = 0
    for candidate in sorted(candidates, key=lambda c: c.deadline_s):
        if slack_s(candidate, state, now_s) < 0:
            continue
        ahead += candidate.remaining
        end_s = now_s + ahead / state.rate_per_s
        if candidate.deadline_s - end_s < margin_s(candidate):
            return False
    return True


def by_slack(
    candidates: list[Candidate], state: State, now_s: float
) -> Candidate | None:
    """Chooses the least slack, with a share for the worst-served.

    The share is given only while there is room, so that it makes no job late.
    A job whose deadline cannot be met any more does not hold up those that
    still can.
    """
    if not candidates:
        return None
    slacks = {c.job: slack_s(c, state, now_s) for c in candidates}
    share = state.turn % SHARE_PERIOD == SHARE_PERIOD - 1
    if share and has_room(candidates, state, now_s):
        return min(
            candidates,
            key=lambda c: (
                state.served.get(c.organisation, 0),
                slacks[c.job],
                c.job,
            ),
        )
    return min(
        candidates, key=lambda c: (slacks[c.job] < 0, slacks[c.job], c.job)
    )


def first_come(
    candidates: list[Candidate], _state: State, _now_s: float
) -> Candidate | None:
    """Chooses the job that was accepted first (the naive baseline)."""
    return min(candidates, key=lambda c: (c.accepted_s, c.job), default=None)


def note_started(state: State, candidate: Candidate) -> None:
    """Counts a choice that was carried out."""
    state.turn += 1
    served = state.served.get(candidate.organisation, 0)
    state.served[candidate.organisation] = served + 1


def note_rate(state: State, items: int, period_s: float) -> None:
    """Takes in how many items ended in a period, with exponential decay."""
    measured = items / period_s
    if state.rate_per_s <= 0:
        state.rate_per_s = measured
    else:
        state.rate_per_s += RATE_GAIN * (measured - state.rate_per_s)
