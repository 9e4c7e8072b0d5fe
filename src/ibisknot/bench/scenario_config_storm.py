"""Scenario `config-storm`: concurrent operators, a cut-off VM and an outage.

First, operators change the configuration at several VMs while the key-value
service loses responses. Then one VM is cut off from the network while changes
continue and a key is withdrawn. Then the service is down and a VM restarts.
"""

from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import random
from typing import Any

import anyio
import httpx
import msgspec

from ibisknot.bench import fleet as fleet_module
from ibisknot.bench import scenario

IN_FORCE_LIMIT_S = 3.0
HEAL_LIMIT_S = 8.0
WITHDRAWAL_LIMIT_S = 3.0
STALE_LIMIT_S = 3.0
WAIT_TIMEOUT_S = 20.0
POLL_PERIOD_S = 0.05
OPERATOR_VMS = ("vm-1", "vm-4", "vm-7", "vm-9")
CUT_OFF_VM = "vm-6"
RESTARTED_VM = "vm-3"
LOST_RESPONSE_FRACTION = 0.2
OUTAGE_S = 5.0
REQUEST_PAUSE_S = 0.1


@dataclasses.dataclass(slots=True)
class Observations:
    """What the scenario has observed.

    Attributes:
        vm_versions: Newest version observed at each VM.
        confirmed: Version and time of confirmation by operation.
        unknown_operations: Operations whose confirm had an unknown outcome.
        conflicts: Count of confirms refused with the difference.
        reverts: Count of polls in which a VM served with an older version
            than before.
    """

    vm_versions: dict[str, int] = dataclasses.field(default_factory=dict)
    confirmed: dict[str, tuple[int, float]] = dataclasses.field(
        default_factory=dict
    )
    unknown_operations: list[str] = dataclasses.field(default_factory=list)
    conflicts: int = 0
    reverts: int = 0


@dataclasses.dataclass(slots=True)
class Storm:
    """State of one run of the scenario.

    Attributes:
        fleet: The fleet under test.
        result: The result of the run.
        observed: What the run has observed so far.
        rng: Source of the operators' random choices.
        cut_off_vms: VMs that need not reach confirmed versions.
        pending_versions: Time of confirmation of each version that is not
            in force on all other VMs yet.
        in_force_delays_s: Seconds from each confirmation until the version
            was in force.
    """

    fleet: fleet_module.Fleet
    result: scenario.Result
    observed: Observations
    rng: random.Random
    cut_off_vms: set[str] = dataclasses.field(default_factory=set)
    pending_versions: dict[int, float] = dataclasses.field(default_factory=dict)
    in_force_delays_s: list[float] = dataclasses.field(default_factory=list)

    async def watch_versions(self) -> None:
        """Polls the version of each VM until cancelled."""
        async with anyio.create_task_group() as task_group:
            for name in self.fleet.vms:
                task_group.start_soon(self._watch_vm, name)

    async def _watch_vm(self, name: str) -> None:
        while True:
            await anyio.sleep(POLL_PERIOD_S)
            try:
                response = await self.fleet.call_operator(
                    "GET", "/version", vm=name
                )
            except httpx.HTTPError:
                continue
            if response.status_code != 200:
                continue
            version_state = response.json()
            if version_state["version"] < self.observed.vm_versions.get(
                name, 0
            ):
                # A VM that has just started may have an older version while
                # it refuses requests, but it must not serve with it.
                self.observed.reverts += version_state["current"]
                continue
            self.observed.vm_versions[name] = version_state["version"]
            self._record_in_force()

    def _record_in_force(self) -> None:
        common_version = min(
            self.observed.vm_versions.get(name, 0)
            for name in self.fleet.vms
            if name not in self.cut_off_vms
        )
        now = anyio.current_time()
        for version in [
            v for v in self.pending_versions if v <= common_version
        ]:
            self.in_force_delays_s.append(
                now - self.pending_versions.pop(version)
            )

    def record_confirmation(self, operation: str, version: int) -> None:
        """Records a confirmed change."""
        now = anyio.current_time()
        self.observed.confirmed[operation] = (version, now)
        self.pending_versions[version] = now

    async def plan_and_confirm(
        self, vm: str, intent: dict[str, Any]
    ) -> int | None:
        """Plans and confirms a change once.

        Returns:
            The version of the change, or None if it was not confirmed.
        """
        plan = await self.fleet.call_operator("POST", "/plans", intent, vm=vm)
        if plan.status_code != 200:
            return None
        # Stands for a person who reads the plan, while other operators
        # confirm theirs.
        await anyio.sleep(self.rng.random() * 0.1)
        operation = plan.json()["id"]
        path = f"/plans/{operation}/confirm"
        response = await self.fleet.call_operator("POST", path, vm=vm)
        if response.status_code == 200:
            version = int(response.json()["version"])
            self.record_confirmation(operation, version)
            return version
        self._record_refusal(operation, response)
        return None

    def _record_refusal(self, operation: str, response: httpx.Response) -> None:
        error = response.json()["error"]
        if error["code"] == "conflict":
            has_difference = bool(error.get("difference"))
            self.observed.conflicts += has_difference
            self.result.expect(
                has_difference, f"{operation}: conflict without a difference"
            )
        elif error["code"] == "key_value_unknown":
            self.observed.unknown_operations.append(operation)
            names_operation = error.get("operation") == operation
            self.result.expect(
                names_operation,
                f"{operation}: unknown outcome without the operation",
            )
        else:
            not_run = error["ran"] == "not_run"
            self.result.expect(not_run, f"{operation}: {error}")

    async def race_operators(self, seconds: float) -> None:
        """Runs operators that change the same organisations at several VMs."""
        end_s = anyio.current_time() + seconds

        async def operate(vm: str, index: int) -> None:
            while anyio.current_time() < end_s:
                name = f"organisation-{self.rng.randint(1, 3)}"
                burst = self.rng.randint(50, 5000)
                intent = {"organisations": {name: {"burst": burst}}}
                await self.plan_and_confirm(vm, intent)
                await anyio.sleep(self.rng.random() * 0.2)

        async with anyio.create_task_group() as task_group:
            for index, vm in enumerate(OPERATOR_VMS):
                task_group.start_soon(operate, vm, index)

    async def wait_until(
        self, condition: Callable[[], Awaitable[bool]]
    ) -> float:
        """Returns the seconds until a condition holds or the wait times out."""
        start_s = anyio.current_time()
        while anyio.current_time() - start_s < WAIT_TIMEOUT_S:
            if await condition():
                break
            await anyio.sleep(POLL_PERIOD_S)
        return round(anyio.current_time() - start_s, 3)

    async def all_in_force(self) -> bool:
        """Returns whether all reachable VMs have all confirmed versions."""
        return not self.pending_versions

    async def request_models(self, vm: str, key: str) -> tuple[int, str]:
        """Requests the models with a key.

        Returns:
            The status and the error code; status 0 for a failed connection.
        """
        try:
            response = await self.fleet.client.get(
                f"{self.fleet.vms[vm].direct_url()}/v1/models",
                headers={"authorization": f"Bearer {key}"},
            )
        except httpx.HTTPError as error:
            return 0, repr(error)
        body = response.json()
        return response.status_code, body.get("error", {}).get("code", "")


async def run(options: scenario.RunOptions) -> scenario.Result:
    """Runs the three phases and checks the confirmed changes."""
    result = scenario.Result()
    fleet_options = fleet_module.Options(
        topology=options.topology,
        policy=options.policy,
        seed=options.seed,
        proxied=True,
        delays=True,
    )
    async with fleet_module.running(fleet_options) as fleet:
        rng = random.Random(options.seed)
        storm = Storm(fleet, result, Observations(), rng)
        async with anyio.create_task_group() as task_group:
            task_group.start_soon(storm.watch_versions)
            await _check_concurrent_operators(storm, options.seconds * 0.5)
            await _check_cut_off_vm(storm, options.seconds * 0.3)
            await _check_outage(storm)
            await _check_history(storm)
            task_group.cancel_scope.cancel()
    _add_fields(storm)
    return result


async def _check_concurrent_operators(storm: Storm, seconds: float) -> None:
    """Runs operators while responses of the key-value service are lost."""
    await storm.fleet.set_key_value_faults(lose_answers=LOST_RESPONSE_FRACTION)
    await storm.race_operators(seconds)
    await storm.fleet.set_key_value_faults()
    await storm.wait_until(storm.all_in_force)
    fields = storm.result.fields
    fields["in_force_s_max"] = round(
        max(storm.in_force_delays_s, default=0.0), 3
    )
    all_reached = not storm.pending_versions
    storm.result.expect(
        all_reached, f"not in force: {sorted(storm.pending_versions)}"
    )
    storm.result.expect(
        fields["in_force_s_max"] <= IN_FORCE_LIMIT_S, "change in force too late"
    )


async def _check_cut_off_vm(storm: Storm, seconds: float) -> None:
    """Cuts a VM off the network and withdraws a key meanwhile."""
    fleet, fields = storm.fleet, storm.result.fields
    key = fleet.organisation_keys["organisation-8"]
    storm.cut_off_vms.add(CUT_OFF_VM)
    await fleet.isolate_vm(CUT_OFF_VM)
    cut_s = anyio.current_time()
    intent = {"organisations": {"organisation-8": {"keys": {"first": None}}}}
    version = None
    while version is None and anyio.current_time() < cut_s + WAIT_TIMEOUT_S:
        version = await storm.plan_and_confirm("vm-1", intent)

    async def is_refused_everywhere() -> bool:
        responses = [await storm.request_models(vm, key) for vm in fleet.vms]
        return all(status in (401, 503) for status, _ in responses)

    async def does_cut_off_vm_refuse() -> bool:
        other = fleet.organisation_keys["organisation-1"]
        return await storm.request_models(CUT_OFF_VM, other) == (
            503,
            "stale_configuration",
        )

    fields["key_withdrawal_s"] = await storm.wait_until(is_refused_everywhere)
    await storm.wait_until(does_cut_off_vm_refuse)
    fields["stale_refused_s"] = round(anyio.current_time() - cut_s, 3)
    storm.result.expect(
        fields["key_withdrawal_s"] <= WITHDRAWAL_LIMIT_S,
        "withdrawn key accepted too long",
    )
    storm.result.expect(
        fields["stale_refused_s"] <= STALE_LIMIT_S, "cut-off VM served too long"
    )
    await storm.race_operators(
        max(0.5, seconds - (anyio.current_time() - cut_s))
    )
    storm.cut_off_vms.clear()
    newest = max(version for version, _ in storm.observed.confirmed.values())
    heal_s = anyio.current_time()
    await fleet.heal_vm(CUT_OFF_VM)

    async def is_healed() -> bool:
        return storm.observed.vm_versions.get(CUT_OFF_VM, 0) >= newest

    await storm.wait_until(is_healed)
    healed_s = anyio.current_time() - heal_s
    fields["in_force_after_heal_s"] = round(healed_s, 3)
    storm.result.expect(
        fields["in_force_after_heal_s"] <= HEAL_LIMIT_S,
        "changes in force too late after the cut",
    )


async def _check_outage(storm: Storm) -> None:
    """Restarts a VM while the service is down and online requests continue."""
    fleet, result = storm.fleet, storm.result
    await fleet.set_key_value_faults(down=True)
    down_s = anyio.current_time()
    version_before = storm.observed.vm_versions[RESTARTED_VM]
    key = fleet.organisation_keys["organisation-1"]
    sent = succeeded = 0
    async with anyio.create_task_group() as task_group:
        task_group.start_soon(fleet.restart_vm, RESTARTED_VM)
        while anyio.current_time() < down_s + OUTAGE_S:
            for vm in fleet.vms:
                if vm != RESTARTED_VM:
                    sent += 1
                    succeeded += (await storm.request_models(vm, key))[0] == 200
            await anyio.sleep(REQUEST_PAUSE_S)

    async def serves() -> bool:
        return await storm.request_models(RESTARTED_VM, key) == (200, "")

    result.fields["restart_serves_s"] = await storm.wait_until(serves)
    response = await fleet.call_operator("GET", "/version", vm=RESTARTED_VM)
    is_current = response.json()["version"] >= version_before
    result.expect(is_current, "the restarted VM has an older version")
    result.expect(await serves(), "the restarted VM does not serve")
    result.expect(
        succeeded == sent, "requests with a key refused in the outage"
    )
    result.fields["outage_ok_fraction"] = succeeded / max(1, sent)
    await fleet.set_key_value_faults()


async def _check_history(storm: Storm) -> None:
    """Checks that confirmed changes are recorded and unknown ones resolved."""
    fleet, observed, result = storm.fleet, storm.observed, storm.result
    response = await fleet.call_operator("GET", "/history?limit=1000")
    changes = response.json()
    versions_by_operation = {
        change["operation"]: change["version"] for change in changes
    }
    versions = sorted(versions_by_operation.values())
    is_gapless = versions == list(range(1, len(versions) + 1))
    result.expect(is_gapless, "versions are missing or repeated")
    for operation, (version, _) in observed.confirmed.items():
        if versions_by_operation.get(operation) != version:
            result.lost += 1
    resolved = 0
    for operation in observed.unknown_operations:
        status = await fleet.call_operator("GET", f"/operations/{operation}")
        state = status.json()["state"]
        resolved += state in ("done", "not_done")
        is_recorded = operation in versions_by_operation
        result.expect(is_recorded == (state == "done"), f"{operation}: {state}")
    result.expect(
        resolved == len(observed.unknown_operations),
        "operations with unknown outcome remain",
    )
    result.fields["unknown"] = len(observed.unknown_operations)
    await _check_content(storm, changes)


async def _check_content(storm: Storm, changes: list[dict[str, Any]]) -> None:
    """Checks that each VM has the state that the changes lead to."""
    expected: dict[str, float] = {}
    for change in sorted(changes, key=lambda c: c["version"]):
        for entry in change["changes"]:
            if entry["kind"] == "organisations" and entry["after"]:
                expected[entry["name"]] = entry["after"]["burst"]
    for vm in storm.fleet.vms:
        response = await storm.fleet.call_operator(
            "GET", "/configuration", vm=vm
        )
        organisations = msgspec.json.decode(response.content)["organisations"]
        bursts = {name: entry["burst"] for name, entry in organisations.items()}
        storm.result.expect(
            bursts == expected, f"{vm} has a different configuration"
        )


def _add_fields(storm: Storm) -> None:
    observed, result = storm.observed, storm.result
    result.fields["confirmed"] = len(observed.confirmed)
    result.fields["conflicts_refused"] = observed.conflicts
    result.fields["reverts"] = observed.reverts
    result.expect(observed.reverts == 0, "a VM served with an older version")
    result.expect(
        observed.conflicts > 0, "no confirm was refused with a conflict"
    )
