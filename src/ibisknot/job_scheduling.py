"""Decides which batch job's item runs next, without input or output.

Times of jobs are Unix seconds.
"""

from collections.abc import Callable
import dataclasses

FAIRNESS_PERIOD = 4
"""One in this many choices goes to the least-served organisation."""
SLACK_MARGIN_FRACTION = 0.2
"""Fraction of a job's completion window that its slack should exceed."""
MIN_SLACK_MARGIN_S = 5.0
RATE_WEIGHT = 0.3
"""Weight of the newest period in the item rate."""


@dataclasses.dataclass(slots=True)
class Candidate:
    """A job that has items ready to run.

    Attributes:
        job_id: Id of the job.
        organisation: Name of the organisation that submitted it.
        accepted_s: Time at which it was accepted.
        deadline_s: Time at which it is due.
        remaining_items: Count of the items without a result.
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
        items_per_s: Items that this process completes per second, as a decayed
            mean; 0 if unknown.
        started_items: Count of the items started, by organisation.
        choice_count: Count of the choices that were carried out.
    """

    items_per_s: float = 0.0
    started_items: dict[str, int] = dataclasses.field(default_factory=dict)
    choice_count: int = 0


ChooseJob = Callable[[list[Candidate], ScheduleState, float], Candidate | None]


def slack_s(candidate: Candidate, state: ScheduleState, now_s: float) -> float:
    """Returns the seconds to spare if only this job ran from now on.

    >>> candidate = Candidate("j", "o", 0.0, 60.0, 100)
    >>> slack_s(candidate, ScheduleState(items_per_s=10), 0.0)
    50.0
    """
    work_s = 0.0
    if state.items_per_s > 0:
        work_s = candidate.remaining_items / state.items_per_s
    return candidate.deadline_s - now_s - work_s


def slack_margin_s(candidate: Candidate) -> float:
    """Returns the slack in seconds that a job should keep."""
    window_s = candidate.deadline_s - candidate.accepted_s
    return max(MIN_SLACK_MARGIN_S, SLACK_MARGIN_FRACTION * window_s)


def jobs_at_risk(
    candidates: list[Candidate], state: ScheduleState, now_s: float
) -> set[str]:
    """Returns the ids of the jobs that will be late at the current item rate.

    Jobs that are due earlier run first, so their items are counted too.
    """
    at_risk_ids: set[str] = set()
    if state.items_per_s <= 0:
        return at_risk_ids
    item_count = 0
    for candidate in sorted(candidates, key=lambda c: c.deadline_s):
        item_count += candidate.remaining_items
        if now_s + item_count / state.items_per_s > candidate.deadline_s:
            at_risk_ids.add(candidate.job_id)
    return at_risk_ids


def estimated_finish_s(
    candidates: list[Candidate], state: ScheduleState, job_id: str, now_s: float
) -> float | None:
    """Returns the estimated time of a job's completion, None if unknown."""
    if state.items_per_s <= 0:
        return None
    item_count = 0
    for candidate in sorted(candidates, key=lambda c: c.deadline_s):
        item_count += candidate.remaining_items
        if candidate.job_id == job_id:
            return now_s + item_count / state.items_per_s
    return None


def has_time_to_reorder(
    candidates: list[Candidate], state: ScheduleState, now_s: float
) -> bool:
    """Returns whether items may run out of order without making a job late.

    Every job must end `slack_margin_s` before its deadline, after all items
    that are due earlier. Jobs that cannot meet their deadline are ignored.
    """
    if state.items_per_s <= 0:
        return False
    item_count = 0
    for candidate in sorted(candidates, key=lambda c: c.deadline_s):
        if slack_s(candidate, state, now_s) < 0:
            continue
        item_count += candidate.remaining_items
        end_s = now_s + item_count / state.items_per_s
        if candidate.deadline_s - end_s < slack_margin_s(candidate):
            return False
    return True


def choose_by_slack(
    candidates: list[Candidate], state: ScheduleState, now_s: float
) -> Candidate | None:
    """Chooses the job with the least slack.

    One in `FAIRNESS_PERIOD` choices goes to the least-served organisation
    instead, if this makes no job late. Jobs that cannot meet their deadline
    any more come after those that can.
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
    """Chooses the job that was accepted first, as the naive policy does."""
    return min(candidates, key=lambda c: (c.accepted_s, c.job_id), default=None)


def record_started(state: ScheduleState, candidate: Candidate) -> None:
    """Records that an item of the chosen job was started."""
    state.choice_count += 1
    served = state.started_items.get(candidate.organisation, 0)
    state.started_items[candidate.organisation] = served + 1


def record_rate(
    state: ScheduleState, ended_items: int, period_s: float
) -> None:
    """Updates the item rate by the count of items that ended in a period."""
    items_per_s = ended_items / period_s
    if state.items_per_s <= 0:
        state.items_per_s = items_per_s
    else:
        state.items_per_s += RATE_WEIGHT * (items_per_s - state.items_per_s)
