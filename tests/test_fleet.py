"""Fault control of the local fleet."""

from collections.abc import Callable
import time

import conftest
import httpx

from ibisknot import vmlist
from ibisknot.bench import fleet as fleet_module
from ibisknot.bench import links
from ibisknot.bench import topology
from ibisknot.standins import standin_engine

SmallFleet = conftest.SmallFleet


def wait_until(condition: Callable[[], bool]) -> None:
    for _ in range(300):
        if condition():
            return
        time.sleep(0.1)
    raise AssertionError("it did not come true")


def request_models(small: SmallFleet, vm: str) -> int:
    url = small.fleet.vms[vm].url() + "/v1/models"
    headers = {"authorization": f"Bearer {small.key()}"}
    return httpx.get(url, headers=headers, trust_env=False).status_code


def test_cut_vm_answers_callers_and_heals(small_fleet: SmallFleet) -> None:
    """Guards against a cut that callers notice, or that never heals."""
    small_fleet.portal.call(small_fleet.fleet.isolate_vm, "vm-2")
    wait_until(lambda: request_models(small_fleet, "vm-2") == 503)
    small_fleet.portal.call(small_fleet.fleet.heal_vm, "vm-2")
    wait_until(lambda: request_models(small_fleet, "vm-2") == 200)


def test_crashed_engine_comes_back_and_is_counted(
    small_fleet: SmallFleet,
) -> None:
    """Guards against crashes that the bench does not see."""
    engine = small_fleet.fleet.endpoints["engine-1"]
    body = {"model": "small", "prompt": standin_engine.CRASH_MARKER}
    try:
        httpx.post(engine.url + "/v1/completions", json=body)
    except httpx.HTTPError:
        pass
    wait_until(lambda: small_fleet.fleet.crash_counts == {"engine-1": 1})

    def answers() -> bool:
        try:
            return httpx.get(engine.url + "/v1/models").status_code == 200
        except httpx.HTTPError:
            return False

    wait_until(answers)


def test_killed_vm_restarts_with_the_same_name(small_fleet: SmallFleet) -> None:
    """Guards against a VM that cannot be replaced in place."""
    fleet = small_fleet.fleet
    small_fleet.portal.call(fleet.kill_vm, "vm-2")
    assert not any(p.is_running() for p in fleet.vms["vm-2"].processes.values())
    small_fleet.portal.call(fleet.restart_vm, "vm-2")
    wait_until(lambda: request_models(small_fleet, "vm-2") == 200)


def test_list_shows_leaving_and_gone_vms(small_fleet: SmallFleet) -> None:
    """Guards against a list that does not follow the bench."""
    fleet = small_fleet.fleet

    def listed() -> dict[str, str]:
        found = httpx.get(fleet.vm_list_url + "/vms").json()
        return {vm["name"]: vm["state"] for vm in found}

    small_fleet.portal.call(fleet.list_vm, "vm-2", vmlist.DRAINING)
    wait_until(lambda: listed().get("vm-2") == vmlist.DRAINING)
    small_fleet.portal.call(fleet.unlist_vm, "vm-2")
    wait_until(lambda: "vm-2" not in listed())
    small_fleet.portal.call(fleet.list_vm, "vm-2")
    wait_until(lambda: listed().get("vm-2") == vmlist.ACTIVE)


def test_links_have_the_delays_of_the_topology() -> None:
    """Guards against delays within a data centre, or none between them."""
    kigali = topology.UMURUNGA
    vms = [
        fleet_module.Vm(f"vm-{n + 1}", n, centre, f"10.0.0.{n}", True, "")
        for n, centre in enumerate([*kigali.data_centres, "kigali-1"])
    ]
    options = fleet_module.Options(topology=kigali, delays=True)
    engine = ("engine-1", "http://10.0.0.100:9000", "kigali-2")
    network = links.build_network(options, "10.0.0", vms, [engine], {})
    delays = {
        link.name: link.faults.delay_s
        for each in network.links.values()
        for link in each
    }
    assert delays["vm-1/peer/vm-2:7000"] == kigali.delay_s
    assert delays["vm-1/peer/vm-5:7002"] == 0.0
    assert delays["vm-1/endpoint/engine-1"] == kigali.delay_s
    assert delays["vm-2/endpoint/engine-1"] == 0.0
    assert delays["callers/entry/vm-1"] == kigali.client_delay_s
    listens = [link.listen for x in network.links.values() for link in x]
    assert len(set(listens)) == len(listens)
