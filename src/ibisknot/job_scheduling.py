"""Which job's item runs next: pure decisions over the jobs at hand."""

from collections.abc import Callable
import dataclasses

FAIRNESS_PERIOD = 4
"""Every so many choices one goes to the worst-served organisation."""
SLACK_MARGIN_FRACTION = 0.2
"""Part of a job's time below which its slack counts as short."""
MIN_SLACK_MARGIN_S = 5.0
RATE_WEIGHT = 0.3
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

    job_id: str
    organisation: str
    accepted_s: float
    deadline_s: float
    remaining_items: int


@dataclasses.dataclass(slots=True)
class ScheduleState:
    """What the choice depends on besides the candidates.

    Attributes:
        rate_per_s: Items a second that this process gets through, or 0 when
            not known.
        served: Items run so far by organisation.
        turn: Number of choices made.
    """

    items_per_s: float = 0.0
    started_items: dict[str, int] = dataclasses.field(default_factory=dict)
    choice_count: int = 0


ChooseJob = Callable[[list[Candidate], ScheduleState, float], Candidate | None]


def slack_s(candidate: Candidate, state: ScheduleState, now_s: float) -> float:
    """Returns the time left over if the job ran alone from now on.

    >>> candidate = Candidate("j", "o", 0.0, 60.0, 100)
    >>> slack_s(candidate, ScheduleState(items_per_s=10), 0.0)
    50.0
    """
    work_s = 0.0
    if state.items_per_s > 0:
        work_s = candidate.remaining_items / state.items_per_s
    return candidate.deadline_s - now_s - work_s


def slack_margin_s(candidate: Candidate) -> float:
    """Returns the slack below which a job counts as short of time."""
    window_s = candidate.deadline_s - candidate.accepted_s
    return max(MIN_SLACK_MARGIN_S, SLACK_MARGIN_FRACTION * window_s)


def jobs_at_risk(
    candidates: list[Candidate], state: ScheduleState, now_s: float
) -> set[str]:
    """Returns the jobs that will be late if work goes on as it does now.

    Jobs that are due earlier run before; so their work counts too.
    """
    at_risk_ids: set[str] = set()
    if state.items_per_s <= 0:
        return at_risk_ids
    ahead = 0
    for candidate in sorted(candidates, key=lambda c: c.deadline_s):
        ahead += candidate.remaining_items
        if now_s + ahead / state.items_per_s > candidate.deadline_s:
            at_risk_ids.add(candidate.job_id)
    return at_risk_ids


def estimated_finish_s(
    candidates: list[Candidate], state: ScheduleState, job_id: str, now_s: float
) -> float | None:
    """Returns the estimated finish of a job, or None when unknown."""
    if state.items_per_s <= 0:
        return None
    ahead = 0
    for candidate in sorted(candidates, key=lambda c: c.deadline_s):
        ahead += candidate.remaining_items
        if candidate.job_id == job_id:
            return now_s + ahead / state.items_per_s
    return None


def has_time_to_reorder(
    candidates: list[Candidate], state: ScheduleState, now_s: float
) -> bool:
    """Returns whether work may run out of order and make no job late.

    Every job must end well before its deadline with all the work that is due
    before it. Jobs that cannot be saved do not count.
    """
    if state.items_per_s <= 0:
        return False
    ahead = 0
    for candidate in sorted(candidates, key=lambda c: c.deadline_s):
        if slack_s(candidate, state, now_s) < 0:
            continue
        ahead += candidate.remaining_items
        end_s = now_s + ahead / state.items_per_s
        if candidate.deadline_s - end_s < slack_margin_s(candidate):
            return False
    return True


def choose_by_slack(
    candidates: list[Candidate], state: ScheduleState, now_s: float
) -> Candidate | None:
    """Chooses the least slack, with a share for the worst-served.

    The share is given only while there is room, so that it makes no job late.
    A job whose deadline cannot be met any more does not hold up those that
    still can.
    """
    if not candidates:
        return None
    slacks = {c.job_id: slack_s(c, state, now_s) for c in candidates}
    is_fairness_choice = (
        state.choice_count % FAIRNESS_PERIOD == FAIRNESS_PERIOD - 1
    )
    if is_fairness_choice and has_time_to_reorder(candidates, state, now_s):
        return min(
            candidates,
            key=lambda c: (
                state.started_items.get(c.organisation, 0),
                slacks[c.job_id],
                c.job_id,
            ),
        )
    return min(
        candidates,
        key=lambda c: (slacks[c.job_id] < 0, slacks[c.job_id], c.job_id),
    )


def choose_by_arrival(
    candidates: list[Candidate], _state: ScheduleState, _now_s: float
) -> Candidate | None:
    """Chooses the job that was accepted first (the naive baseline)."""
    return min(candidates, key=lambda c: (c.accepted_s, c.job_id), default=None)


def record_started(state: ScheduleState, candidate: Candidate) -> None:
    """Counts a choice that was carried out."""
    state.choice_count += 1
    served = state.started_items.get(candidate.organisation, 0)
    state.started_items[candidate.organisation] = served + 1


def record_rate(
    state: ScheduleState, ended_items: int, period_s: float
) -> None:
    """Takes in how many items ended in a period, with exponential decay."""
    items_per_s = ended_items / period_s
    if state.items_per_s <= 0:
        state.items_per_s = items_per_s
    else:
        state.items_per_s += RATE_WEIGHT * (items_per_s - state.items_per_s)
