"""Deltas between VMs, and the evidence that travels with them."""

import random
from typing import Any

import msgspec
import pytest

from ibisknot import configuration
from ibisknot import distribution
from ibisknot import errors
from ibisknot import freshness
from ibisknot import groups
from ibisknot import spread


def node(name: str, names: list[str]) -> distribution.Distribution:
    return distribution.Distribution(me=name, listed=lambda: names)


def commit(source: distribution.Distribution, **rates: float) -> None:
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
    changes = groups.differences(before, after)
    head = groups.Head(version, f"op-{version}", groups.digests(after))
    source.adopt(groups.State(head, after), [msgspec.json.encode(changes)])


def ask(
    asker: distribution.Distribution,
    other: distribution.Distribution,
    now: float,
    *,
    heard: bool = False,
) -> Any:
    """Runs one question and its answer without loss."""
    delta = other.answer(asker.ask(wants_heard=heard), now)
    if not asker.take(delta):
        again = asker.ask(wants_heard=heard, with_digests=True)
        delta = other.answer(again, now)
        asker.take(delta)
    asker.take_evidence(delta, now)
    return delta


def test_restarted_vm_gets_the_whole_state_then_deltas() -> None:
    """Guards against a restarted VM that stays behind its peers."""
    first, second = node("a", ["a", "b"]), node("b", ["a", "b"])
    for number in range(distribution.RECENT_VERSIONS + 5):
        commit(first, x=number + 1.0)
    delta = ask(second, first, 1.0)
    assert delta.groups is not None
    assert second.state == first.state
    commit(first, y=2.0)
    delta = ask(second, first, 2.0)
    assert delta.groups is None
    assert len(delta.changes) == 1
    assert second.state == first.state
    assert second.key_valid("digest-y")


def test_older_or_damaged_state_is_not_adopted() -> None:
    """Guards against reverts, and against a state unlike its digests."""
    first, second = node("a", ["a", "b"]), node("b", ["a", "b"])
    commit(first, x=1.0)
    old = first.push()
    commit(first, x=2.0)
    ask(second, first, 1.0)
    second.take(old)
    assert second.state.head.version == 2
    third = node("c", ["a"])
    damaged = first.answer(third.ask(), 1.0)
    damaged.changes[0] = damaged.changes[0].replace(b"1.0", b"9.0")
    damaged.changes[1] = damaged.changes[1].replace(b"2.0", b"9.0")
    assert not third.take(damaged)
    assert third.state.head.version == 0


def test_change_event_is_set_at_a_withdrawal() -> None:
    """Guards against running streams that miss the end of their key."""
    source = node("a", ["a"])
    commit(source, x=1.0)
    changed = source.changed
    assert source.key_valid("digest-x")
    after = configuration.Configuration(2)
    head = groups.Head(2, "op", groups.digests(after))
    source.adopt(groups.State(head, after), [])
    assert changed.is_set()
    assert not source.key_valid("digest-x")


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
        changes = groups.differences(before, after)
        head = groups.Head(version, "op", groups.digests(after))
        data = [msgspec.json.encode(changes)]
        assert source.adopt(groups.State(head, after), data)
        assert source.keys == configuration.key_index(after)


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
    nodes["a"].check_current(now)
    nodes["b"].check_current(now)
    with pytest.raises(errors.StaleConfigurationError) as caught:
        nodes["c"].check_current(now)
    assert caught.value.ran == errors.NOT_RUN


def test_evidence_of_a_newer_version_is_not_taken() -> None:
    """Guards against a VM that vouches for a version it does not have."""
    first, second = node("a", ["a", "b"]), node("b", ["a", "b"])
    commit(first, x=1.0)
    first.confirm(5.0)
    delta = first.answer(second.ask(), 5.0)
    second.take_evidence(delta, 5.0)
    assert not second.is_current(5.0)
    second.take(delta)
    second.take_evidence(delta, 5.0)
    assert second.is_current(5.0)


def test_late_answer_does_not_look_fresh() -> None:
    """Guards against evidence whose age starts when it arrives."""
    first, second = node("a", ["a", "b", "c"]), node("b", ["a", "b", "c"])
    commit(first, x=1.0)
    first.confirm(10.0)
    delta = first.answer(second.ask(), 10.0)
    second.take(delta)
    second.take_evidence(delta, asked_s=4.0)
    assert second.service_s <= 4.0


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
                    delta = other.answer(asker.ask(wants_heard=True), now)
                    asker.take_evidence(delta, now - 0.05)
        now += 0.25
    assert all(asker.is_current(now) for asker in nodes.values())


def test_tree_reaches_every_vm_with_two_parents() -> None:
    """Guards against VMs without a path from a watcher."""
    names = [f"vm-{number}" for number in range(420)]
    ranked = spread.ranking(names)
    reached = set(ranked[: spread.WATCHER_COUNT])
    for name in ranked[spread.WATCHER_COUNT :]:
        above = spread.parents(ranked, name)
        assert len(set(above)) == spread.PARENT_COUNT
        assert set(above) <= reached
        assert all(name in spread.children(ranked, up) for up in above)
        reached.add(name)
    most = max(len(spread.children(ranked, name)) for name in names)
    assert most <= 3 * spread.FANOUT


def test_direct_calls_are_bounded_in_an_outage() -> None:
    """Guards against service calls that grow with the fleet."""
    for count in (9, 72, 420):
        pause_s = freshness.direct_wait_s(count, answered=False)
        assert count / pause_s <= freshness.DIRECT_CALLS_PER_S
