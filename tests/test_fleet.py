"""Faults, VM list and links of the local fleet."""

from collections.abc import Callable
import signal
import time

import anyio
import conftest
import httpx

from ibisknot import vmlist
from ibisknot.bench import fleet as fleet_module
from ibisknot.bench import links
from ibisknot.bench import scenario_smoke
from ibisknot.bench import topology
from ibisknot.standins import standin_engine

SmallFleet = conftest.SmallFleet


def wait_until(condition: Callable[[], bool]) -> None:
    for _ in range(300):
        if condition():
            return
        time.sleep(0.1)
    raise AssertionError("the condition did not become true")


def models_status(small: SmallFleet, vm: str) -> int:
    url = small.fleet.vms[vm].url() + "/v1/models"
    headers = {"authorization": f"Bearer {small.key()}"}
    try:
        return httpx.get(url, headers=headers, trust_env=False).status_code
    except httpx.HTTPError:
        return 0


def upload_status(small: SmallFleet) -> int:
    response = httpx.post(
        small.fleet.vms["vm-1"].direct_url() + "/v1/files",
        files={
            "file": ("in.jsonl", scenario_smoke.input_file(1, max_tokens=1))
        },
        data={"purpose": "batch"},
        headers={"authorization": f"Bearer {small.key()}"},
    )
    return response.status_code


def test_isolated_vm_responds_to_callers_and_recovers(
    small_fleet: SmallFleet,
) -> None:
    """Guards against isolation that cuts callers off, or that does not end."""
    small_fleet.portal.call(small_fleet.fleet.isolate_vm, "vm-2")
    wait_until(lambda: models_status(small_fleet, "vm-2") == 503)
    small_fleet.portal.call(small_fleet.fleet.heal_vm, "vm-2")
    wait_until(lambda: models_status(small_fleet, "vm-2") == 200)


def test_crashed_engine_is_restarted_and_counted(
    small_fleet: SmallFleet,
) -> None:
    """Guards against crashes that are not counted, or engines left stopped."""
    engine = small_fleet.fleet.endpoints["engine-1"]
    body = {"model": "small", "prompt": standin_engine.CRASH_MARKER}
    try:
        httpx.post(engine.url + "/v1/completions", json=body)
    except httpx.HTTPError:
        pass
    wait_until(lambda: small_fleet.fleet.crash_counts == {"engine-1": 1})

    def is_answering() -> bool:
        try:
            return httpx.get(engine.url + "/v1/models").status_code == 200
        except httpx.HTTPError:
            return False

    wait_until(is_answering)


def test_killed_vm_restarts_with_the_same_name(small_fleet: SmallFleet) -> None:
    """Guards against a killed VM that cannot start again under its name."""
    fleet = small_fleet.fleet
    small_fleet.portal.call(fleet.kill_vm, "vm-2")
    assert not any(p.is_running() for p in fleet.vms["vm-2"].processes.values())
    small_fleet.portal.call(fleet.restart_vm, "vm-2")
    wait_until(lambda: models_status(small_fleet, "vm-2") == 200)


def test_vm_is_not_ready_before_its_store_listens(
    small_fleet: SmallFleet,
) -> None:
    """Guards against uploads that are refused since a store has not started."""
    fleet = small_fleet.fleet
    small_fleet.portal.call(fleet.kill_vm, "vm-2")
    small_fleet.portal.call(fleet.start_vm, "vm-2")
    store = fleet.vms["vm-2"].processes["store"]
    store.send_signal(signal.SIGSTOP)

    async def is_ready() -> bool:
        with anyio.move_on_after(1.0):
            await fleet.wait_ready("vm-2")
            return True
        return False

    try:
        wait_until(lambda: models_status(small_fleet, "vm-2") == 200)
        assert not small_fleet.portal.call(is_ready)
    finally:
        store.send_signal(signal.SIGCONT)
    small_fleet.portal.call(fleet.wait_ready, "vm-2")


def test_list_shows_draining_and_departed_vms(small_fleet: SmallFleet) -> None:
    """Guards against a platform list that differs from the bench's list."""
    fleet = small_fleet.fleet

    def listed() -> dict[str, str]:
        listed_vms = httpx.get(fleet.vm_list_url + "/vms").json()
        return {vm["name"]: vm["state"] for vm in listed_vms}

    small_fleet.portal.call(fleet.list_vm, "vm-2", vmlist.DRAINING)
    wait_until(lambda: listed().get("vm-2") == vmlist.DRAINING)
    small_fleet.portal.call(fleet.unlist_vm, "vm-2")
    wait_until(lambda: "vm-2" not in listed())
    small_fleet.portal.call(fleet.list_vm, "vm-2")
    wait_until(lambda: listed().get("vm-2") == vmlist.ACTIVE)
    # An upload needs both stores; entries read the list now and then.
    wait_until(lambda: upload_status(small_fleet) == 200)


def test_links_have_the_delays_of_the_topology() -> None:
    """Guards against delays within a data centre, or none between two."""
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
        for proxy_links in network.links.values()
        for link in proxy_links
    }
    assert delays["vm-1/peer/vm-2:7000"] == kigali.delay_s
    assert delays["vm-1/peer/vm-5:7002"] == 0.0
    assert delays["vm-1/endpoint/engine-1"] == kigali.delay_s
    assert delays["vm-2/endpoint/engine-1"] == 0.0
    assert delays["callers/entry/vm-1"] == kigali.client_delay_s
    listens = [
        link.listen
        for centre_links in network.links.values()
        for link in centre_links
    ]
    assert len(set(listens)) == len(listens)
