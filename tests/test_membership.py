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
    membership.seed(made, vms, 0.0)
    return made


def names(made: membership.View) -> set[str]:
    return {vm.name for vm in made.live()}


def tell(source: membership.View, target: membership.View, now: float) -> None:
    news = membership.compose(source, to=target.me)
    membership.on_news(target, news, now)


def test_suspicion_runs_out_and_a_paused_vm_refutes_it() -> None:
    """Guards against paused VMs that stay out and dead ones that stay in."""
    vms = listed(3)
    first, other, paused = (view(f"vm-{n}", vms) for n in range(3))
    tell(paused, first, 0.5)
    membership.on_probe_failed(first, "vm-2", 1.0)
    tell(first, other, 1.1)
    assert "vm-2" in names(other)
    membership.seed(other, vms, 1.2 + membership.SUSPICION_S)
    assert "vm-2" not in names(other)
    tell(first, paused, 5.0)
    assert paused.incarnation == 101
    tell(paused, other, 5.1)
    assert "vm-2" in names(other)


def test_old_suspicion_does_not_beat_a_refutation() -> None:
    """Guards against news that arrives out of order."""
    vms = listed(3)
    other = view("vm-1", vms)
    refuted = membership.News([membership.Update("vm-2", False, 101)])
    stale = membership.News([membership.Update("vm-2", True, 100)])
    membership.on_news(other, refuted, 1.0)
    membership.on_news(other, stale, 1.1)
    membership.seed(other, vms, 10.0)
    assert "vm-2" in names(other)


def test_platform_has_the_last_word() -> None:
    """Guards against VMs that stay members after the platform drops them."""
    vms = listed(3)
    first = view("vm-0", vms)
    vms[1].state = vmlist.LEAVING
    membership.seed(first, vms[:2], 1.0)
    assert names(first) == {"vm-0"}
    assert membership.targets(first) == []


def test_restarted_vm_replaces_its_payload() -> None:
    """Guards against a new process whose load report is taken for old."""
    vms = listed(2)
    other = view("vm-1", vms)
    for incarnation, data in ((100, b"old"), (200, b"new")):
        made = membership.create("vm-0", incarnation=incarnation)
        membership.seed(made, vms, 0.0)
        for part in (made, other):
            part.register("load", limit_bytes=16)
        made.publish("load", data)
        tell(made, other, 1.0)
        assert other.payloads["vm-0", "load"].data == data


def test_payload_over_its_limit_is_refused() -> None:
    """Guards against one payload that takes the whole budget."""
    made = view("vm-0", listed(2))
    made.register("load", limit_bytes=4)
    with pytest.raises(ValueError, match="5 bytes"):
        made.publish("load", b"12345")


def news_bytes(news: membership.News) -> int:
    size = sum(payload.size() for payload in news.payloads)
    return size + membership.MEMBER_UPDATE_BYTES * len(news.updates)


@pytest.mark.parametrize("count", [9, 90])
def test_payloads_reach_all_within_the_budget(count: int) -> None:
    """Guards against bytes that grow with the fleet, and news that stops."""
    vms = listed(count)
    views = [view(vm.name, vms) for vm in vms]
    choice = random.Random(1)
    for made in views:
        made.register("load", limit_bytes=8)
        made.publish("load", made.me.encode())
    for period in range(150):
        for made in views:
            target = membership.choose_target(made, choice)
            peer = next(v for v in views if v.me == target)
            for source, other in ((made, peer), (peer, made)):
                news = membership.compose(source)
                assert news_bytes(news) <= membership.NEWS_BYTES
                membership.on_news(other, news, period * 0.5)
    assert all(len(made.payloads) == count for made in views)
    assert not any(made.sent for made in views)
