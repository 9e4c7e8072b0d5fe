"""Deltas between VMs, and the evidence that they carry."""

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


def local_configuration(
    name: str, names: list[str]
) -> distribution.LocalConfiguration:
    return distribution.LocalConfiguration(
        vm_name=name, listed_vms=lambda: names
    )


def put_next_in_force(
    local: distribution.LocalConfiguration, **rates: float
) -> None:
    """Puts the next version in force on one VM."""
    before = local.current
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
    local.adopt(sections.State(head, after), [msgspec.json.encode(changes)])


def exchange(
    requester: distribution.LocalConfiguration,
    peer: distribution.LocalConfiguration,
    now: float,
    *,
    wants_reports: bool = False,
) -> Any:
    """Runs one request and its answer, and a second one if needed."""
    delta = peer.build_delta(
        requester.build_digest(wants_reports=wants_reports), now
    )
    if not requester.apply_delta(delta):
        digest = requester.build_digest(
            wants_reports=wants_reports, with_digests=True
        )
        delta = peer.build_delta(digest, now)
        requester.apply_delta(delta)
    requester.merge_evidence(delta, now)
    return delta


def test_restarted_vm_gets_whole_sections_then_changes() -> None:
    """Guards against a restarted VM that keeps an older version."""
    first, second = (
        local_configuration("a", ["a", "b"]),
        local_configuration("b", ["a", "b"]),
    )
    for number in range(distribution.MAX_RECENT_VERSIONS + 5):
        put_next_in_force(first, x=number + 1.0)
    delta = exchange(second, first, 1.0)
    assert delta.groups is not None
    assert second.state == first.state
    put_next_in_force(first, y=2.0)
    delta = exchange(second, first, 2.0)
    assert delta.groups is None
    assert len(delta.changes) == 1
    assert second.state == first.state
    assert second.is_key_valid("digest-y")


def test_older_or_damaged_state_is_not_adopted() -> None:
    """Guards against an older state, and one that differs from its digests."""
    first, second = (
        local_configuration("a", ["a", "b"]),
        local_configuration("b", ["a", "b"]),
    )
    put_next_in_force(first, x=1.0)
    old = first.build_push()
    put_next_in_force(first, x=2.0)
    exchange(second, first, 1.0)
    second.apply_delta(old)
    assert second.state.head.version == 2
    third = local_configuration("c", ["a"])
    damaged = first.build_delta(third.build_digest(), 1.0)
    damaged.changes[0] = damaged.changes[0].replace(b"1.0", b"9.0")
    damaged.changes[1] = damaged.changes[1].replace(b"2.0", b"9.0")
    assert not third.apply_delta(damaged)
    assert third.state.head.version == 0


def test_change_event_is_set_at_a_withdrawal() -> None:
    """Guards against streams that continue after their key is withdrawn."""
    local = local_configuration("a", ["a"])
    put_next_in_force(local, x=1.0)
    changed = local.changed
    assert local.is_key_valid("digest-x")
    after = configuration.Configuration(2)
    head = sections.Head(2, "op", sections.section_digests(after))
    local.adopt(sections.State(head, after), [])
    assert changed.is_set()
    assert not local.is_key_valid("digest-x")


def test_incremental_key_owners_equal_a_full_index() -> None:
    """Guards against keys that stay valid after a delta removes them."""
    rng = random.Random(3)
    local = local_configuration("a", ["a"])
    for version in range(1, 60):
        before = local.current
        organisations = dict(before.organisations)
        name = f"o{rng.randint(1, 4)}"
        keys = {
            f"k{k}": configuration.Key(f"d-{name}-{rng.randint(1, 5)}-{k}")
            for k in range(rng.randint(0, 3))
        }
        organisations[name] = configuration.Organisation(1.0, 1.0, keys)
        if rng.random() < 0.2:
            del organisations[name]
        after = configuration.Configuration(version, organisations)
        changes = sections.list_changes(before, after)
        head = sections.Head(version, "op", sections.section_digests(after))
        data = [msgspec.json.encode(changes)]
        assert local.adopt(sections.State(head, after), data)
        assert local.key_owners == configuration.index_keys(after)


def test_disconnected_vm_refuses_and_majority_continues() -> None:
    """Guards against a disconnected VM that accepts withdrawn keys."""
    names = ["a", "b", "c"]
    locals_by_name = {name: local_configuration(name, names) for name in names}
    put_next_in_force(locals_by_name["a"], x=1.0)
    for name in "bc":
        exchange(locals_by_name[name], locals_by_name["a"], 0.0)
    for tick in range(1, 20):
        now = tick * 0.5
        exchange(
            locals_by_name["a"], locals_by_name["b"], now, wants_reports=True
        )
        exchange(
            locals_by_name["b"], locals_by_name["a"], now, wants_reports=True
        )
    locals_by_name["a"].check_fresh(now)
    locals_by_name["b"].check_fresh(now)
    with pytest.raises(errors.StaleConfigurationError) as caught:
        locals_by_name["c"].check_fresh(now)
    assert caught.value.ran == errors.NOT_RUN


def test_evidence_of_a_newer_version_is_ignored() -> None:
    """Guards against a VM that uses evidence of a version it does not have."""
    first, second = (
        local_configuration("a", ["a", "b"]),
        local_configuration("b", ["a", "b"]),
    )
    put_next_in_force(first, x=1.0)
    first.record_confirmation(5.0)
    delta = first.build_delta(second.build_digest(), 5.0)
    second.merge_evidence(delta, 5.0)
    assert not second.is_fresh(5.0)
    second.apply_delta(delta)
    second.merge_evidence(delta, 5.0)
    assert second.is_fresh(5.0)


def test_delayed_answer_ages_from_its_request() -> None:
    """Guards against evidence whose age counts from its arrival."""
    first, second = (
        local_configuration("a", ["a", "b", "c"]),
        local_configuration("b", ["a", "b", "c"]),
    )
    put_next_in_force(first, x=1.0)
    first.record_confirmation(10.0)
    delta = first.build_delta(second.build_digest(), 10.0)
    second.apply_delta(delta)
    second.merge_evidence(delta, requested_s=4.0)
    assert second.confirmed_s <= 4.0


def test_evidence_reaches_420_vms_in_an_outage() -> None:
    """Guards against refused requests when most VMs reach each other.

    The key-value service and 100 of the 420 VMs do not answer.
    """
    names = [f"vm-{number}" for number in range(420)]
    unreachable_count = 100
    rng = random.Random(5)
    locals_by_name = {
        name: local_configuration(name, names)
        for name in names[unreachable_count:]
    }
    put_next_in_force(locals_by_name[names[-1]], x=1.0)
    local = locals_by_name[names[-1]]
    for peer in locals_by_name.values():
        peer.adopt(local.state, [])
    now = 0.0
    while now < freshness.STALE_AFTER_S:
        for name, requester in locals_by_name.items():
            for peer_name in rng.sample(names, 3):
                if peer_name in locals_by_name and peer_name != name:
                    peer = locals_by_name[peer_name]
                    delta = peer.build_delta(
                        requester.build_digest(wants_reports=True), now
                    )
                    requester.merge_evidence(delta, now - 0.05)
        now += 0.25
    assert all(requester.is_fresh(now) for requester in locals_by_name.values())


def test_tree_reaches_every_vm_with_two_parents() -> None:
    """Guards against VMs that no watcher's changes reach."""
    names = [f"vm-{number}" for number in range(420)]
    ranked = configuration_tree.rank_vms(names)
    reached = set(ranked[: configuration_tree.WATCHER_COUNT])
    for name in ranked[configuration_tree.WATCHER_COUNT :]:
        parents = configuration_tree.parents(ranked, name)
        assert len(set(parents)) == configuration_tree.PARENT_COUNT
        assert set(parents) <= reached
        assert all(
            name in configuration_tree.children(ranked, parent)
            for parent in parents
        )
        reached.add(name)
    max_children = max(
        len(configuration_tree.children(ranked, name)) for name in names
    )
    assert max_children <= 3 * configuration_tree.FANOUT


def test_direct_reads_are_bounded_in_an_outage() -> None:
    """Guards against a rate of reads that grows with the fleet."""
    for count in (9, 72, 420):
        pause_s = freshness.read_pause_s(count, is_answered=False)
        assert count / pause_s <= freshness.MAX_FLEET_READS_PER_S
