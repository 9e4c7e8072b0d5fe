"""Membership: unresponsive VMs are suspected, and may refute it."""

import random

import pytest

from ibisknot import membership
from ibisknot import vmlist


def make_vms(count: int) -> list[vmlist.ListedVm]:
    return [
        vmlist.ListedVm(f"vm-{n}", "centre", f"127.0.0.{n}")
        for n in range(count)
    ]


def make_view(me: str, vms: list[vmlist.ListedVm]) -> membership.View:
    view = membership.create(me, incarnation=100)
    membership.apply_vm_list(view, vms, 0.0)
    return view


def active_names(view: membership.View) -> set[str]:
    return {vm.name for vm in view.active_vms()}


def send_update(
    source: membership.View, target: membership.View, now: float
) -> None:
    update = membership.compose_update(source, receiver=target.own_name)
    membership.apply_update(target, update, now)


def test_suspicion_times_out_and_a_paused_vm_refutes_it() -> None:
    """Guards against paused VMs that stay inactive, and lost ones that do not.

    VM 2 does not answer while it is paused, and refutes when it runs again.
    """
    vms = make_vms(3)
    first, other, paused = (make_view(f"vm-{n}", vms) for n in range(3))
    send_update(paused, first, 0.5)
    membership.record_probe_failure(first, "vm-2", 1.0)
    send_update(first, other, 1.1)
    assert "vm-2" in active_names(other)
    membership.apply_vm_list(other, vms, 1.2 + membership.SUSPICION_TIMEOUT_S)
    assert "vm-2" not in active_names(other)
    send_update(first, paused, 5.0)
    assert paused.incarnation == 101
    send_update(paused, other, 5.1)
    assert "vm-2" in active_names(other)


def test_refutation_overrides_an_older_suspicion() -> None:
    """Guards against updates that arrive out of order."""
    vms = make_vms(3)
    other = make_view("vm-1", vms)
    refuted = membership.Update([membership.MemberUpdate("vm-2", False, 101)])
    stale = membership.Update([membership.MemberUpdate("vm-2", True, 100)])
    membership.apply_update(other, refuted, 1.0)
    membership.apply_update(other, stale, 1.1)
    membership.apply_vm_list(other, vms, 10.0)
    assert "vm-2" in active_names(other)


def test_vm_that_is_not_on_the_list_is_no_member() -> None:
    """Guards against members that the platform's list no longer has."""
    vms = make_vms(3)
    first = make_view("vm-0", vms)
    vms[1].state = vmlist.DRAINING
    membership.apply_vm_list(first, vms[:2], 1.0)
    assert active_names(first) == {"vm-0"}
    assert membership.probe_candidates(first) == []


def test_restarted_vm_replaces_its_payload() -> None:
    """Guards against a new process whose payload is rejected as older."""
    vms = make_vms(2)
    other = make_view("vm-1", vms)
    for incarnation, data in ((100, b"old"), (200, b"new")):
        view = membership.create("vm-0", incarnation=incarnation)
        membership.apply_vm_list(view, vms, 0.0)
        for member_view in (view, other):
            member_view.register_payload("load", limit_bytes=16)
        view.publish("load", data)
        send_update(view, other, 1.0)
        assert other.payloads["vm-0", "load"].data == data


def test_payload_over_its_limit_is_rejected() -> None:
    """Guards against one payload that uses the whole size of an update."""
    view = make_view("vm-0", make_vms(2))
    view.register_payload("load", limit_bytes=4)
    with pytest.raises(ValueError, match="5 bytes"):
        view.publish("load", b"12345")


def update_size_bytes(update: membership.Update) -> int:
    size = sum(payload.size_bytes() for payload in update.payloads)
    return size + membership.MEMBER_UPDATE_BYTES * len(update.member_updates)


@pytest.mark.parametrize("count", [9, 90])
def test_payloads_reach_all_within_the_size_limit(count: int) -> None:
    """Guards against updates that grow with the fleet or do not reach all."""
    vms = make_vms(count)
    views = [make_view(vm.name, vms) for vm in vms]
    rng = random.Random(1)
    for view in views:
        view.register_payload("load", limit_bytes=8)
        view.publish("load", view.own_name.encode())
    for period in range(150):
        for view in views:
            target = membership.choose_probe_target(view, rng)
            peer = next(v for v in views if v.own_name == target)
            for source, other in ((view, peer), (peer, view)):
                update = membership.compose_update(source)
                assert update_size_bytes(update) <= membership.MAX_UPDATE_BYTES
                membership.apply_update(other, update, period * 0.5)
    assert all(len(view.payloads) == count for view in views)
    assert not any(view.send_counts for view in views)
