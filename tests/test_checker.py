"""The models: production rules keep the invariants, mutations break them."""

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


def explore_configuration(**mutation: Any) -> checker.Exploration:
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


def test_configuration_writes_hold_in_every_interleaving() -> None:
    """Guards against a write that is lost, repeated or wrongly refused."""
    assert explore_configuration().states > 1000


@pytest.mark.parametrize(
    "mutation",
    [
        {"reads_record_first": True},
        {"compares_version": False},
        {"assumes_failure": True},
        {"decide": lambda **values: configuration_records.DONE},
        {"decide": lambda **values: configuration_records.WRITE},
    ],
    ids=["read order", "guard", "assumed failure", "always done", "never done"],
)
def test_mutated_configuration_writes_are_caught(
    mutation: dict[str, Any],
) -> None:
    """Guards against an invariant check that no longer finds a broken rule."""
    with pytest.raises(checker.ViolationError):
        explore_configuration(**mutation)


@pytest.mark.parametrize(
    "rules", [{}, {"checks_fencing": False, "last_time_s": 7}]
)
def test_orders_hold_in_every_interleaving(rules: dict[str, Any]) -> None:
    """Guards against an older owner's order that runs after a newer one's."""
    assert explore_orders(**rules).states > 1000


@pytest.mark.parametrize(
    "mutation",
    [
        {"increments_epoch": False},
        {"counts_from_response": True},
        {
            "checks_fencing": False,
            "last_time_s": 7,
            "may_order": lambda now, **values: True,
        },
        {"checks_fencing": False, "last_time_s": 7, "checks_lease": False},
    ],
    ids=["epoch increments", "lease from the request", "wait", "lease check"],
)
def test_mutated_orders_are_caught(mutation: dict[str, Any]) -> None:
    """Guards against an invariant check that no longer finds a broken rule."""
    with pytest.raises(checker.ViolationError):
        explore_orders(**mutation)


def merge_all_evidence(
    own: distribution.LocalConfiguration, delta: Any, requested_s: float
) -> None:
    """Mutation: evidence for a newer version is accepted as well."""
    if delta.service_age_ms >= 0:
        own.record_confirmation(requested_s - delta.service_age_ms / 1000)


def explore_evidence(**mutation: Any) -> checker.Exploration:
    steps = functools.partial(checker_evidence.steps, **mutation)
    start = checker_evidence.initial_state()
    return checker.explore(start, steps, checker_evidence.find_violation)


def test_evidence_holds_in_every_interleaving() -> None:
    """Guards against a VM that serves with keys that may be outdated."""
    assert explore_evidence().states > 1000


@pytest.mark.parametrize(
    "mutation",
    [{"merge_evidence": merge_all_evidence}, {"counts_from_receipt": True}],
    ids=["own version", "age from the request"],
)
def test_mutated_evidence_is_caught(mutation: dict[str, Any]) -> None:
    """Guards against an invariant check that no longer finds a broken rule."""
    with pytest.raises(checker.ViolationError):
        explore_evidence(**mutation)


def explore_rates(**mutation: Any) -> checker.Exploration:
    rules = checker_rates.Rules(**mutation)
    steps = functools.partial(checker_rates.steps, rules=rules)
    return checker.explore(
        checker_rates.initial_state(), steps, checker_rates.find_violation
    )


def test_shares_hold_in_every_interleaving() -> None:
    """Guards against VMs that hold more units than the organisation has."""
    assert explore_rates().states > 1000


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
        "all have reported",
        "same report again",
    ],
)
def test_mutated_shares_are_caught(mutation: dict[str, Any]) -> None:
    """Guards against an invariant check that no longer finds a broken rule."""
    with pytest.raises(checker.ViolationError):
        explore_rates(**mutation)
