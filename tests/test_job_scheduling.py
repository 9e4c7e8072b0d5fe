"""The order of batch work."""

import dataclasses

import hypothesis
from hypothesis import strategies

from ibisknot import job_scheduling


def candidate(
    job: str, deadline_s: float, remaining: int, organisation: str = "a"
) -> job_scheduling.Candidate:
    return job_scheduling.Candidate(
        job, organisation, 0.0, deadline_s, remaining
    )


def late_jobs(
    choose: job_scheduling.ChooseJob, jobs: list[job_scheduling.Candidate]
) -> list[str]:
    """Runs one item a second and returns the jobs that end late."""
    state = job_scheduling.ScheduleState(items_per_s=1.0)
    left = [dataclasses.replace(job) for job in jobs]
    now_s = 0.0
    late = []
    while left:
        chosen = choose(left, state, now_s)
        assert chosen is not None
        job_scheduling.record_started(state, chosen)
        now_s += 1.0
        chosen.remaining_items -= 1
        if not chosen.remaining_items:
            left.remove(chosen)
            if now_s > chosen.deadline_s:
                late.append(chosen.job_id)
    return late


def feasible(jobs: list[job_scheduling.Candidate]) -> bool:
    """Returns whether a plan that knows all jobs can meet all deadlines."""
    work = 0
    for job in sorted(jobs, key=lambda job: job.deadline_s):
        work += job.remaining_items
        if work > job.deadline_s:
            return False
    return True


JOBS = strategies.lists(
    strategies.tuples(
        strategies.integers(1, 120),
        strategies.integers(1, 25),
        strategies.sampled_from("abc"),
    ),
    min_size=1,
    max_size=6,
)


@hypothesis.settings(derandomize=True, deadline=None, max_examples=300)
@hypothesis.given(drawn=JOBS)
def test_slack_order_meets_what_can_be_met(
    drawn: list[tuple[int, int, str]],
) -> None:
    """Guards against a late job that a better order would have met."""
    jobs = [
        candidate(str(number), float(deadline), count, name)
        for number, (deadline, count, name) in enumerate(drawn)
    ]
    hypothesis.assume(feasible(jobs))
    assert late_jobs(job_scheduling.choose_by_slack, jobs) == []


def test_first_come_order_misses_a_short_deadline() -> None:
    """Guards against a comparison that the naive order passes as well."""
    jobs = [candidate("a", 100.0, 50), candidate("b", 10.0, 5)]
    assert late_jobs(job_scheduling.choose_by_slack, jobs) == []
    assert late_jobs(job_scheduling.choose_by_arrival, jobs) == ["b"]


def test_worst_served_organisation_gets_a_share() -> None:
    """Guards against an organisation that waits behind a large one."""
    state = job_scheduling.ScheduleState(items_per_s=100.0)
    jobs = [
        candidate("large", 1000.0, 1000, "a"),
        candidate("small", 2000.0, 1000, "b"),
    ]
    for _ in range(40):
        chosen = job_scheduling.choose_by_slack(jobs, state, 0.0)
        assert chosen is not None
        job_scheduling.record_started(state, chosen)
    assert state.started_items == {"a": 30, "b": 10}


def test_hopeless_job_does_not_hold_up_others() -> None:
    """Guards against a job past saving that makes others late."""
    state = job_scheduling.ScheduleState(items_per_s=1.0)
    jobs = [candidate("hopeless", 10.0, 1000), candidate("b", 60.0, 50)]
    chosen = job_scheduling.choose_by_slack(jobs, state, 0.0)
    assert chosen is not None
    assert chosen.job_id == "b"


def test_risk_counts_the_work_that_is_due_before() -> None:
    """Guards against a warning that comes only when it is too late."""
    state = job_scheduling.ScheduleState(items_per_s=1.0)
    jobs = [candidate("a", 50.0, 40), candidate("b", 60.0, 30)]
    assert job_scheduling.jobs_at_risk(jobs, state, 0.0) == {"b"}
    assert job_scheduling.estimated_finish_s(jobs, state, "b", 0.0) == 70.0
