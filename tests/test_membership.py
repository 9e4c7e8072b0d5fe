"""Membership: a hint that finds dead VMs and lets paused ones refute."""

import random

import pytest

from ibisknot import membership
from ibisknot import vmlist


def listed(count: int) -> list[vmlist.ListedVm]:
    return [
        vmlist.ListedVm(f"vm-{n}", "centre", f"127.0.0.{n}")
        for n in range(count)
    ]


def view(me: str, vms: list[vmlist.ListedVm]) -> membership.View:
    made = membership.create(me, incarnation=100)
    membership.apply_vm_list(made, vms, 0.0)
    return made


def names(made: membership.View) -> set[str]:
    return {vm.name for vm in made.active_vms()}


def tell(source: membership.View, target: membership.View, now: float) -> None:
    news = membership.compose_update(source, receiver=target.own_name)
    membership.apply_update(target, news, now)


def test_suspicion_runs_out_and_a_paused_vm_refutes_it() -> None:
    """Guards against paused VMs that stay out and dead ones that stay in."""
    vms = listed(3)
    first, other, paused = (view(f"vm-{n}", vms) for n in range(3))
    tell(paused, first, 0.5)
    membership.record_probe_failure(first, "vm-2", 1.0)
    tell(first, other, 1.1)
    assert "vm-2" in names(other)
    membership.apply_vm_list(other, vms, 1.2 + membership.SUSPICION_TIMEOUT_S)
    assert "vm-2" not in names(other)
    tell(first, paused, 5.0)
    assert paused.incarnation == 101
    tell(paused, other, 5.1)
    assert "vm-2" in names(other)


def test_old_suspicion_does_not_beat_a_refutation() -> None:
    """Guards against news that arrives out of order."""
    vms = listed(3)
    other = view("vm-1", vms)
    refuted = membership.Update([membership.MemberUpdate("vm-2", False, 101)])
    stale = membership.Update([membership.MemberUpdate("vm-2", True, 100)])
    membership.apply_update(other, refuted, 1.0)
    membership.apply_update(other, stale, 1.1)
    membership.apply_vm_list(other, vms, 10.0)
    assert "vm-2" in names(other)


def test_platform_has_the_last_word() -> None:
    """Guards against VMs that stay members after the platform drops them."""
    vms = listed(3)
    first = view("vm-0", vms)
    vms[1].state = vmlist.DRAINING
    membership.apply_vm_list(first, vms[:2], 1.0)
    assert names(first) == {"vm-0"}
    assert membership.probe_candidates(first) == []


def test_restarted_vm_replaces_its_payload() -> None:
    """Guards against a new process whose load report is taken for old."""
    vms = listed(2)
    other = view("vm-1", vms)
    for incarnation, data in ((100, b"old"), (200, b"new")):
        made = membership.create("vm-0", incarnation=incarnation)
        membership.apply_vm_list(made, vms, 0.0)
        for part in (made, other):
            part.register_payload("load", limit_bytes=16)
        made.publish("load", data)
        tell(made, other, 1.0)
        assert other.payloads["vm-0", "load"].data == data


def test_payload_over_its_limit_is_refused() -> None:
    """Guards against one payload that takes the whole budget."""
    made = view("vm-0", listed(2))
    made.register_payload("load", limit_bytes=4)
    with pytest.raises(ValueError, match="5 bytes"):
        made.publish("load", b"12345")


def news_bytes(news: membership.Update) -> int:
    size = sum(payload.size_bytes() for payload in news.payloads)
    return size + membership.MEMBER_UPDATE_BYTES * len(news.member_updates)


@pytest.mark.parametrize("count", [9, 90])
def test_payloads_reach_all_within_the_budget(count: int) -> None:
    """Guards against bytes that grow with the fleet, and news that stops."""
    vms = listed(count)
    views = [view(vm.name, vms) for vm in vms]
    choice = random.Random(1)
    for made in views:
        made.register_payload("load", limit_bytes=8)
        made.publish("load", made.own_name.encode())
    for period in range(150):
        for made in views:
            target = membership.choose_probe_target(made, choice)
            peer = next(v for v in views if v.own_name == target)
            for source, other in ((made, peer), (peer, made)):
                news = membership.compose_update(source)
                assert news_bytes(news) <= membership.MAX_UPDATE_BYTES
                membership.apply_update(other, news, period * 0.5)
    assert all(len(made.payloads) == count for made in views)
    assert not any(made.send_counts for made in views)
