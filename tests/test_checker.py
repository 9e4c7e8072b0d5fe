"""The model check: production rules hold, and each mutation is caught."""

import functools
from typing import Any

import pytest

from ibisknot import configuration_records
from ibisknot import distribution
from ibisknot.bench import checker
from ibisknot.bench import checker_configuration
from ibisknot.bench import checker_evidence
from ibisknot.bench import checker_orders
from ibisknot.bench import checker_rates


def explore_commit(**mutation: Any) -> checker.Exploration:
    steps = functools.partial(checker_configuration.steps, **mutation)
    return checker.explore(
        checker_configuration.initial_state(),
        steps,
        checker_configuration.find_violation,
    )


def explore_orders(**mutation: Any) -> checker.Exploration:
    rules = checker_orders.Rules(**mutation)
    steps = functools.partial(checker_orders.steps, rules=rules)
    return checker.explore(
        checker_orders.initial_state(), steps, checker_orders.find_violation
    )


def test_versions_hold_in_every_interleaving() -> None:
    """Guards against a write that is lost, repeated or wrongly refused."""
    assert explore_commit().states > 1000


@pytest.mark.parametrize(
    "mutation",
    [
        {"reads_record_first": True},
        {"compares_version": False},
        {"assumes_failure": True},
        {"decide": lambda **read: configuration_records.DONE},
        {"decide": lambda **read: configuration_records.WRITE},
    ],
    ids=["read order", "guard", "guess", "always done", "never done"],
)
def test_mutated_versions_are_caught(mutation: dict[str, Any]) -> None:
    """Guards against a check that no longer sees a broken rule."""
    with pytest.raises(checker.ViolationError):
        explore_commit(**mutation)


@pytest.mark.parametrize(
    "rules", [{}, {"checks_fencing": False, "last_time_s": 7}]
)
def test_orders_hold_in_every_interleaving(rules: dict[str, Any]) -> None:
    """Guards against an older holder's order after a newer one's."""
    assert explore_orders(**rules).states > 1000


@pytest.mark.parametrize(
    "mutation",
    [
        {"increments_epoch": False},
        {"counts_from_response": True},
        {
            "checks_fencing": False,
            "last_time_s": 7,
            "may_order": lambda now, **known: True,
        },
        {"checks_fencing": False, "last_time_s": 7, "checks_lease": False},
    ],
    ids=["number rises", "lease from the ask", "wait", "lease check"],
)
def test_mutated_orders_are_caught(mutation: dict[str, Any]) -> None:
    """Guards against a check that no longer sees a broken rule."""
    with pytest.raises(checker.ViolationError):
        explore_orders(**mutation)


def trusting(
    own: distribution.LocalConfiguration, delta: Any, asked_s: float
) -> None:
    """Mutation: evidence of a newer version is taken as well."""
    if delta.service_age_ms >= 0:
        own.record_confirmation(asked_s - delta.service_age_ms / 1000)


def explore_evidence(**mutation: Any) -> checker.Exploration:
    steps = functools.partial(checker_evidence.steps, **mutation)
    start = checker_evidence.initial_state()
    return checker.explore(start, steps, checker_evidence.find_violation)


def test_evidence_holds_in_every_interleaving() -> None:
    """Guards against a VM that serves by keys that it cannot vouch for."""
    assert explore_evidence().states > 1000


@pytest.mark.parametrize(
    "mutation",
    [{"merge_evidence": trusting}, {"counts_from_receipt": True}],
    ids=["own version", "age from the question"],
)
def test_mutated_evidence_is_caught(mutation: dict[str, Any]) -> None:
    """Guards against a check that no longer sees a broken rule."""
    with pytest.raises(checker.ViolationError):
        explore_evidence(**mutation)


def explore_shares(**mutation: Any) -> checker.Exploration:
    rules = checker_rates.Rules(**mutation)
    steps = functools.partial(checker_rates.steps, rules=rules)
    return checker.explore(
        checker_rates.initial_state(), steps, checker_rates.find_violation
    )


def test_shares_hold_in_every_interleaving() -> None:
    """Guards against more units among the VMs than the organisation has."""
    assert explore_shares().states > 1000


@pytest.mark.parametrize(
    "mutation",
    [
        {"accepts_epoch": lambda holdings, epoch: True},
        {"checks_return_epoch": False},
        {"waits_for_reports": False},
        {"repeats_report": False},
    ],
    ids=[
        "epoch of a message",
        "epoch of a return",
        "all have answered",
        "same answer again",
    ],
)
def test_mutated_shares_are_caught(mutation: dict[str, Any]) -> None:
    """Guards against a check that no longer sees a broken rule."""
    with pytest.raises(checker.ViolationError):
        explore_shares(**mutation)
