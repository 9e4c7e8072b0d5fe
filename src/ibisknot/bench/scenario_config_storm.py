"""Scenario `config-storm`: racing operators, lost answers, a cut, an outage.

Operators race from several VMs while the key-value service loses answers;
then one VM is cut off while changes go on and a key is withdrawn; then the
service goes down and a VM restarts.
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
WAIT_LIMIT_S = 20.0
POLL_S = 0.05
OPERATOR_VMS = ("vm-1", "vm-4", "vm-7", "vm-9")
CUT_VM = "vm-6"
RESTARTED_VM = "vm-3"
LOST_ANSWERS = 0.2
OUTAGE_S = 5.0
CALL_PAUSE_S = 0.1


@dataclasses.dataclass(slots=True)
class Seen:
    """What the scenario has observed.

    Attributes:
        versions: Newest version seen by VM.
        confirmed: Version and time of confirmation by operation.
        unknown: Operations whose outcome was not known.
        conflicts: Confirms refused with the difference.
        reverts: Times that a VM served by an older version than before.
    """

    versions: dict[str, int] = dataclasses.field(default_factory=dict)
    confirmed: dict[str, tuple[int, float]] = dataclasses.field(
        default_factory=dict
    )
    unknown: list[str] = dataclasses.field(default_factory=list)
    conflicts: int = 0
    reverts: int = 0


@dataclasses.dataclass(slots=True)
class Storm:
    """A run of the scenario."""

    fleet: fleet_module.Fleet
    result: scenario.Result
    seen: Seen
    random: random.Random
    unreachable: set[str] = dataclasses.field(default_factory=set)
    waiting: dict[int, float] = dataclasses.field(default_factory=dict)
    in_force_s: list[float] = dataclasses.field(default_factory=list)

    async def watch(self) -> None:
        """Follows the version of each VM until cancelled."""
        async with anyio.create_task_group() as group:
            for name in self.fleet.vms:
                group.start_soon(self._watch_vm, name)

    async def _watch_vm(self, name: str) -> None:
        while True:
            await anyio.sleep(POLL_S)
            try:
                answer = await self.fleet.call_operator(
                    "GET", "/version", vm=name
                )
            except httpx.HTTPError:
                continue
            if answer.status_code != 200:
                continue
            found = answer.json()
            if found["version"] < self.seen.versions.get(name, 0):
                # A VM that has just started may be behind while it refuses
                # requests; it must not serve by the older version.
                self.seen.reverts += found["current"]
                continue
            self.seen.versions[name] = found["version"]
            self._settle()

    def _settle(self) -> None:
        reached = min(
            self.seen.versions.get(name, 0)
            for name in self.fleet.vms
            if name not in self.unreachable
        )
        now = anyio.current_time()
        for version in [v for v in self.waiting if v <= reached]:
            self.in_force_s.append(now - self.waiting.pop(version))

    def confirmed(self, operation: str, version: int) -> None:
        """Notes a confirmed change."""
        now = anyio.current_time()
        self.seen.confirmed[operation] = (version, now)
        self.waiting[version] = now

    async def change(self, vm: str, intent: dict[str, Any]) -> int | None:
        """Plans and confirms once; returns the version if confirmed."""
        plan = await self.fleet.call_operator("POST", "/plans", intent, vm=vm)
        if plan.status_code != 200:
            return None
        # A person reads the plan; meanwhile others confirm theirs.
        await anyio.sleep(self.random.random() * 0.1)
        operation = plan.json()["id"]
        path = f"/plans/{operation}/confirm"
        answer = await self.fleet.call_operator("POST", path, vm=vm)
        if answer.status_code == 200:
            version = int(answer.json()["version"])
            self.confirmed(operation, version)
            return version
        self._refused(operation, answer)
        return None

    def _refused(self, operation: str, answer: httpx.Response) -> None:
        error = answer.json()["error"]
        if error["code"] == "conflict":
            told = bool(error.get("difference"))
            self.seen.conflicts += told
            self.result.expect(
                told, f"{operation}: conflict without difference"
            )
        elif error["code"] == "key_value_unknown":
            self.seen.unknown.append(operation)
            named = error.get("operation") == operation
            self.result.expect(named, f"{operation}: not named as unknown")
        else:
            not_run = error["ran"] == "not_run"
            self.result.expect(not_run, f"{operation}: {error}")

    async def race(self, seconds: float) -> None:
        """Lets operators change the same organisations from several VMs."""
        end_s = anyio.current_time() + seconds

        async def operate(vm: str, number: int) -> None:
            while anyio.current_time() < end_s:
                name = f"organisation-{self.random.randint(1, 3)}"
                burst = self.random.randint(50, 5000)
                intent = {"organisations": {name: {"burst": burst}}}
                await self.change(vm, intent)
                await anyio.sleep(self.random.random() * 0.2)

        async with anyio.create_task_group() as group:
            for number, vm in enumerate(OPERATOR_VMS):
                group.start_soon(operate, vm, number)

    async def wait(self, holds: Callable[[], Awaitable[bool]]) -> float:
        """Returns the seconds until a condition holds, at most the limit."""
        start_s = anyio.current_time()
        while anyio.current_time() - start_s < WAIT_LIMIT_S:
            if await holds():
                break
            await anyio.sleep(POLL_S)
        return round(anyio.current_time() - start_s, 3)

    async def caught_up(self) -> bool:
        """Returns whether all reachable VMs have all confirmed versions."""
        return not self.waiting

    async def models(self, vm: str, key: str) -> tuple[int, str]:
        """Makes a keyed request; returns its status and error code."""
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
    """Runs the three phases and checks what was confirmed."""
    result = scenario.Result()
    started = fleet_module.Options(
        topology=options.topology,
        policy=options.policy,
        seed=options.seed,
        proxied=True,
        delays=True,
    )
    async with fleet_module.running(started) as fleet:
        chosen = random.Random(options.seed)
        storm = Storm(fleet, result, Seen(), chosen)
        async with anyio.create_task_group() as group:
            group.start_soon(storm.watch)
            await _race(storm, options.seconds * 0.5)
            await _cut(storm, options.seconds * 0.3)
            await _outage(storm)
            await _check_history(storm)
            group.cancel_scope.cancel()
    _report(storm)
    return result


async def _race(storm: Storm, seconds: float) -> None:
    await storm.fleet.set_key_value_faults(lose_answers=LOST_ANSWERS)
    await storm.race(seconds)
    await storm.fleet.set_key_value_faults()
    await storm.wait(storm.caught_up)
    fields = storm.result.fields
    fields["in_force_s_max"] = round(max(storm.in_force_s, default=0.0), 3)
    reached = not storm.waiting
    storm.result.expect(reached, f"not in force: {sorted(storm.waiting)}")
    storm.result.expect(
        fields["in_force_s_max"] <= IN_FORCE_LIMIT_S, "in force too late"
    )


async def _cut(storm: Storm, seconds: float) -> None:
    """Cuts a VM off, and withdraws a key meanwhile."""
    fleet, fields = storm.fleet, storm.result.fields
    key = fleet.organisation_keys["organisation-8"]
    storm.unreachable.add(CUT_VM)
    await fleet.isolate_vm(CUT_VM)
    cut_s = anyio.current_time()
    intent = {"organisations": {"organisation-8": {"keys": {"first": None}}}}
    version = None
    while version is None and anyio.current_time() < cut_s + WAIT_LIMIT_S:
        version = await storm.change("vm-1", intent)

    async def refused_everywhere() -> bool:
        answers = [await storm.models(vm, key) for vm in fleet.vms]
        return all(status in (401, 503) for status, _ in answers)

    async def cut_vm_refuses() -> bool:
        other = fleet.organisation_keys["organisation-1"]
        return await storm.models(CUT_VM, other) == (503, "stale_configuration")

    fields["key_withdrawal_s"] = await storm.wait(refused_everywhere)
    await storm.wait(cut_vm_refuses)
    fields["stale_refused_s"] = round(anyio.current_time() - cut_s, 3)
    storm.result.expect(
        fields["key_withdrawal_s"] <= WITHDRAWAL_LIMIT_S, "key worked too long"
    )
    storm.result.expect(
        fields["stale_refused_s"] <= STALE_LIMIT_S, "cut-off VM went on"
    )
    await storm.race(max(0.5, seconds - (anyio.current_time() - cut_s)))
    storm.unreachable.clear()
    newest = max(version for version, _ in storm.seen.confirmed.values())
    heal_s = anyio.current_time()
    await fleet.heal_vm(CUT_VM)

    async def healed() -> bool:
        return storm.seen.versions.get(CUT_VM, 0) >= newest

    await storm.wait(healed)
    healed_s = anyio.current_time() - heal_s
    fields["in_force_after_heal_s"] = round(healed_s, 3)
    storm.result.expect(
        fields["in_force_after_heal_s"] <= HEAL_LIMIT_S,
        "not in force in time after the cut",
    )


async def _outage(storm: Storm) -> None:
    """Restarts a VM while the service is down; online requests go on."""
    fleet, result = storm.fleet, storm.result
    await fleet.set_key_value_faults(down=True)
    down_s = anyio.current_time()
    before = storm.seen.versions[RESTARTED_VM]
    key = fleet.organisation_keys["organisation-1"]
    asked = served = 0
    async with anyio.create_task_group() as group:
        group.start_soon(fleet.restart_vm, RESTARTED_VM)
        while anyio.current_time() < down_s + OUTAGE_S:
            for vm in fleet.vms:
                if vm != RESTARTED_VM:
                    asked += 1
                    served += (await storm.models(vm, key))[0] == 200
            await anyio.sleep(CALL_PAUSE_S)

    async def serves() -> bool:
        return await storm.models(RESTARTED_VM, key) == (200, "")

    result.fields["restart_serves_s"] = await storm.wait(serves)
    answer = await fleet.call_operator("GET", "/version", vm=RESTARTED_VM)
    kept = answer.json()["version"] >= before
    result.expect(kept, "the restarted VM has an older version")
    result.expect(await serves(), "the restarted VM does not serve")
    result.expect(served == asked, "keyed requests refused in the outage")
    result.fields["outage_ok_fraction"] = served / max(1, asked)
    await fleet.set_key_value_faults()


async def _check_history(storm: Storm) -> None:
    """Checks that each confirmed change is there, and each unknown resolved."""
    fleet, seen, result = storm.fleet, storm.seen, storm.result
    answer = await fleet.call_operator("GET", "/history?limit=1000")
    changes = answer.json()
    wrote = {change["operation"]: change["version"] for change in changes}
    versions = sorted(wrote.values())
    whole = versions == list(range(1, len(versions) + 1))
    result.expect(whole, "versions are missing or repeated")
    for operation, (version, _) in seen.confirmed.items():
        if wrote.get(operation) != version:
            result.lost += 1
    resolved = 0
    for operation in seen.unknown:
        found = await fleet.call_operator("GET", f"/operations/{operation}")
        state = found.json()["state"]
        resolved += state in ("done", "not_done")
        done = operation in wrote
        result.expect(done == (state == "done"), f"{operation}: {state}")
    result.expect(resolved == len(seen.unknown), "unknown operations remain")
    result.fields["unknown"] = len(seen.unknown)
    await _check_content(storm, changes)


async def _check_content(storm: Storm, changes: list[dict[str, Any]]) -> None:
    """Checks that the current state is what the changes lead to."""
    expected: dict[str, float] = {}
    for change in sorted(changes, key=lambda c: c["version"]):
        for entry in change["changes"]:
            if entry["kind"] == "organisations" and entry["after"]:
                expected[entry["name"]] = entry["after"]["burst"]
    for vm in storm.fleet.vms:
        answer = await storm.fleet.call_operator("GET", "/configuration", vm=vm)
        found = msgspec.json.decode(answer.content)["organisations"]
        bursts = {name: entry["burst"] for name, entry in found.items()}
        storm.result.expect(bursts == expected, f"{vm} has another content")


def _report(storm: Storm) -> None:
    seen, result = storm.seen, storm.result
    result.fields["confirmed"] = len(seen.confirmed)
    result.fields["conflicts_refused"] = seen.conflicts
    result.fields["reverts"] = seen.reverts
    result.expect(seen.reverts == 0, "a VM served by an older version")
    result.expect(seen.conflicts > 0, "the operators did not race")
