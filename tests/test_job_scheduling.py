"""The order in which items of batch jobs run."""

import dataclasses

import hypothesis
from hypothesis import strategies

from ibisknot import job_scheduling


def _candidate(
    job_id: str, deadline_s: float, item_count: int, organisation: str = "a"
) -> job_scheduling.Candidate:
    return job_scheduling.Candidate(
        job_id, organisation, 0.0, deadline_s, item_count
    )


def _late_jobs(
    choose: job_scheduling.ChooseJob, jobs: list[job_scheduling.Candidate]
) -> list[str]:
    """Runs one item per second and returns the ids of the late jobs."""
    state = job_scheduling.ScheduleState(items_per_s=1.0)
    unfinished = [dataclasses.replace(job) for job in jobs]
    now_s = 0.0
    late = []
    while unfinished:
        chosen = choose(unfinished, state, now_s)
        assert chosen is not None
        job_scheduling.record_started(state, chosen)
        now_s += 1.0
        chosen.remaining_items -= 1
        if not chosen.remaining_items:
            unfinished.remove(chosen)
            if now_s > chosen.deadline_s:
                late.append(chosen.job_id)
    return late


def _is_feasible(jobs: list[job_scheduling.Candidate]) -> bool:
    """Returns whether some order of the items meets all deadlines."""
    item_count = 0
    for job in sorted(jobs, key=lambda job: job.deadline_s):
        item_count += job.remaining_items
        if item_count > job.deadline_s:
            return False
    return True


JOB_VALUES = strategies.lists(
    strategies.tuples(
        strategies.integers(1, 120),
        strategies.integers(1, 25),
        strategies.sampled_from("abc"),
    ),
    min_size=1,
    max_size=6,
)


@hypothesis.settings(derandomize=True, deadline=None, max_examples=300)
@hypothesis.given(job_values=JOB_VALUES)
def test_slack_order_meets_every_feasible_deadline(
    job_values: list[tuple[int, int, str]],
) -> None:
    """Guards against a late job that another order would finish in time."""
    jobs = [
        _candidate(str(index), float(deadline_s), item_count, organisation)
        for index, (deadline_s, item_count, organisation) in enumerate(
            job_values
        )
    ]
    hypothesis.assume(_is_feasible(jobs))
    assert _late_jobs(job_scheduling.choose_by_slack, jobs) == []


def test_arrival_order_misses_a_short_deadline() -> None:
    """Guards against test deadlines that the naive order would meet as well."""
    jobs = [_candidate("a", 100.0, 50), _candidate("b", 10.0, 5)]
    assert _late_jobs(job_scheduling.choose_by_slack, jobs) == []
    assert _late_jobs(job_scheduling.choose_by_arrival, jobs) == ["b"]


def test_least_served_organisation_gets_one_choice_in_four() -> None:
    """Guards against an organisation that waits behind a large one."""
    state = job_scheduling.ScheduleState(items_per_s=100.0)
    jobs = [
        _candidate("large", 1000.0, 1000, "a"),
        _candidate("small", 2000.0, 1000, "b"),
    ]
    for _ in range(40):
        chosen = job_scheduling.choose_by_slack(jobs, state, 0.0)
        assert chosen is not None
        job_scheduling.record_started(state, chosen)
    assert state.started_items == {"a": 30, "b": 10}


def test_job_that_cannot_be_on_time_does_not_delay_others() -> None:
    """Guards against making jobs late for one that is late in any case."""
    state = job_scheduling.ScheduleState(items_per_s=1.0)
    jobs = [_candidate("late", 10.0, 1000), _candidate("b", 60.0, 50)]
    chosen = job_scheduling.choose_by_slack(jobs, state, 0.0)
    assert chosen is not None
    assert chosen.job_id == "b"


def test_risk_counts_the_items_that_are_due_before() -> None:
    """Guards against a warning that comes only after the job is late."""
    state = job_scheduling.ScheduleState(items_per_s=1.0)
    jobs = [_candidate("a", 50.0, 40), _candidate("b", 60.0, 30)]
    assert job_scheduling.jobs_at_risk(jobs, state, 0.0) == {"b"}
    assert job_scheduling.estimated_finish_s(jobs, state, "b", 0.0) == 70.0
