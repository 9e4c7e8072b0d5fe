"""Deltas between VMs, and the evidence that travels with them."""

import random
from typing import Any

import msgspec
import pytest

from ibisknot import configuration
from ibisknot import configuration_tree
from ibisknot import distribution
from ibisknot import errors
from ibisknot import freshness
from ibisknot import sections


def node(name: str, names: list[str]) -> distribution.LocalConfiguration:
    return distribution.LocalConfiguration(
        vm_name=name, listed_vms=lambda: names
    )


def commit(source: distribution.LocalConfiguration, **rates: float) -> None:
    """Puts the next version in force on one VM."""
    before = source.current
    organisations = dict(before.organisations)
    for name, rate in rates.items():
        key = configuration.Key(f"digest-{name}")
        organisations[name] = configuration.Organisation(
            rate_per_s=rate, burst=1.0, keys={"first": key}
        )
    version = before.version + 1
    after = configuration.Configuration(version, organisations)
    changes = sections.list_changes(before, after)
    head = sections.Head(
        version, f"op-{version}", sections.section_digests(after)
    )
    source.adopt(sections.State(head, after), [msgspec.json.encode(changes)])


def ask(
    asker: distribution.LocalConfiguration,
    other: distribution.LocalConfiguration,
    now: float,
    *,
    heard: bool = False,
) -> Any:
    """Runs one question and its answer without loss."""
    delta = other.build_delta(asker.build_digest(wants_reports=heard), now)
    if not asker.apply_delta(delta):
        again = asker.build_digest(wants_reports=heard, with_digests=True)
        delta = other.build_delta(again, now)
        asker.apply_delta(delta)
    asker.merge_evidence(delta, now)
    return delta


def test_restarted_vm_gets_the_whole_state_then_deltas() -> None:
    """Guards against a restarted VM that stays behind its peers."""
    first, second = node("a", ["a", "b"]), node("b", ["a", "b"])
    for number in range(distribution.MAX_RECENT_VERSIONS + 5):
        commit(first, x=number + 1.0)
    delta = ask(second, first, 1.0)
    assert delta.groups is not None
    assert second.state == first.state
    commit(first, y=2.0)
    delta = ask(second, first, 2.0)
    assert delta.groups is None
    assert len(delta.changes) == 1
    assert second.state == first.state
    assert second.is_key_valid("digest-y")


def test_older_or_damaged_state_is_not_adopted() -> None:
    """Guards against reverts, and against a state unlike its digests."""
    first, second = node("a", ["a", "b"]), node("b", ["a", "b"])
    commit(first, x=1.0)
    old = first.build_push()
    commit(first, x=2.0)
    ask(second, first, 1.0)
    second.apply_delta(old)
    assert second.state.head.version == 2
    third = node("c", ["a"])
    damaged = first.build_delta(third.build_digest(), 1.0)
    damaged.changes[0] = damaged.changes[0].replace(b"1.0", b"9.0")
    damaged.changes[1] = damaged.changes[1].replace(b"2.0", b"9.0")
    assert not third.apply_delta(damaged)
    assert third.state.head.version == 0


def test_change_event_is_set_at_a_withdrawal() -> None:
    """Guards against running streams that miss the end of their key."""
    source = node("a", ["a"])
    commit(source, x=1.0)
    changed = source.changed
    assert source.is_key_valid("digest-x")
    after = configuration.Configuration(2)
    head = sections.Head(2, "op", sections.section_digests(after))
    source.adopt(sections.State(head, after), [])
    assert changed.is_set()
    assert not source.is_key_valid("digest-x")


def test_key_index_by_changes_equals_the_whole_one() -> None:
    """Guards against keys that stay valid after a change by delta."""
    choice = random.Random(3)
    source = node("a", ["a"])
    for version in range(1, 60):
        before = source.current
        organisations = dict(before.organisations)
        name = f"o{choice.randint(1, 4)}"
        keys = {
            f"k{k}": configuration.Key(f"d-{name}-{choice.randint(1, 5)}-{k}")
            for k in range(choice.randint(0, 3))
        }
        organisations[name] = configuration.Organisation(1.0, 1.0, keys)
        if choice.random() < 0.2:
            del organisations[name]
        after = configuration.Configuration(version, organisations)
        changes = sections.list_changes(before, after)
        head = sections.Head(version, "op", sections.section_digests(after))
        data = [msgspec.json.encode(changes)]
        assert source.adopt(sections.State(head, after), data)
        assert source.key_owners == configuration.index_keys(after)


def test_cut_off_vm_refuses_and_majority_goes_on() -> None:
    """Guards against a cut-off VM that serves with withdrawn keys."""
    names = ["a", "b", "c"]
    nodes = {name: node(name, names) for name in names}
    commit(nodes["a"], x=1.0)
    for name in "bc":
        ask(nodes[name], nodes["a"], 0.0)
    for tick in range(1, 20):
        now = tick * 0.5
        ask(nodes["a"], nodes["b"], now, heard=True)
        ask(nodes["b"], nodes["a"], now, heard=True)
    nodes["a"].check_fresh(now)
    nodes["b"].check_fresh(now)
    with pytest.raises(errors.StaleConfigurationError) as caught:
        nodes["c"].check_fresh(now)
    assert caught.value.ran == errors.NOT_RUN


def test_evidence_of_a_newer_version_is_not_taken() -> None:
    """Guards against a VM that vouches for a version it does not have."""
    first, second = node("a", ["a", "b"]), node("b", ["a", "b"])
    commit(first, x=1.0)
    first.record_confirmation(5.0)
    delta = first.build_delta(second.build_digest(), 5.0)
    second.merge_evidence(delta, 5.0)
    assert not second.is_fresh(5.0)
    second.apply_delta(delta)
    second.merge_evidence(delta, 5.0)
    assert second.is_fresh(5.0)


def test_late_answer_does_not_look_fresh() -> None:
    """Guards against evidence whose age starts when it arrives."""
    first, second = node("a", ["a", "b", "c"]), node("b", ["a", "b", "c"])
    commit(first, x=1.0)
    first.record_confirmation(10.0)
    delta = first.build_delta(second.build_digest(), 10.0)
    second.apply_delta(delta)
    second.merge_evidence(delta, requested_s=4.0)
    assert second.confirmed_s <= 4.0


def test_evidence_reaches_420_vms_in_an_outage() -> None:
    """Guards against VMs that refuse though most of the fleet is reachable."""
    names = [f"vm-{number}" for number in range(420)]
    cut = 100
    choice = random.Random(5)
    nodes = {name: node(name, names) for name in names[cut:]}
    commit(nodes[names[-1]], x=1.0)
    source = nodes[names[-1]]
    for other in nodes.values():
        other.adopt(source.state, [])
    now = 0.0
    while now < freshness.STALE_AFTER_S:
        for name, asker in nodes.items():
            for other_name in choice.sample(names, 3):
                if other_name in nodes and other_name != name:
                    other = nodes[other_name]
                    delta = other.build_delta(
                        asker.build_digest(wants_reports=True), now
                    )
                    asker.merge_evidence(delta, now - 0.05)
        now += 0.25
    assert all(asker.is_fresh(now) for asker in nodes.values())


def test_tree_reaches_every_vm_with_two_parents() -> None:
    """Guards against VMs without a path from a watcher."""
    names = [f"vm-{number}" for number in range(420)]
    ranked = configuration_tree.rank_vms(names)
    reached = set(ranked[: configuration_tree.WATCHER_COUNT])
    for name in ranked[configuration_tree.WATCHER_COUNT :]:
        above = configuration_tree.parents(ranked, name)
        assert len(set(above)) == configuration_tree.PARENT_COUNT
        assert set(above) <= reached
        assert all(
            name in configuration_tree.children(ranked, up) for up in above
        )
        reached.add(name)
    most = max(len(configuration_tree.children(ranked, name)) for name in names)
    assert most <= 3 * configuration_tree.MAX_CHILDREN_PER_LEVEL


def test_direct_calls_are_bounded_in_an_outage() -> None:
    """Guards against service calls that grow with the fleet."""
    for count in (9, 72, 420):
        pause_s = freshness.read_pause_s(count, is_answered=False)
        assert count / pause_s <= freshness.MAX_FLEET_READS_PER_S
