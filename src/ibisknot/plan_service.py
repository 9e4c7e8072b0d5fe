"""Makes plans, stores them in the key-value service and confirms them."""

from collections.abc import Awaitable
from collections.abc import Callable
import time
from typing import Any

import msgspec

from ibisknot import configuration
from ibisknot import configuration_follower
from ibisknot import configuration_plan
from ibisknot import configuration_records
from ibisknot import effects
from ibisknot import errors
from ibisknot import intents
from ibisknot import keyvalue
from ibisknot import logs
from ibisknot import sections

PLANS_PREFIX = "/ibisknot/plans/"
PLAN_LIFETIME_S = 900.0
"""Time for which a plan is stored and can be confirmed."""
WRITE_ATTEMPTS = 3

ReadLoad = Callable[[str], Awaitable[effects.Load | None]]
"""Returns the load of the endpoint at a URL, None if it is not known."""


class PlanConflictError(errors.ConflictError):
    """The plan was made from a version that is no longer current.

    Attributes:
        base_version: The version that the plan was made from.
        current_version: The current version.
        difference: The fields that changed between them.
    """

    def __init__(
        self,
        plan: configuration_plan.Plan,
        current_version: int,
        difference: list[configuration_plan.FieldChange],
    ) -> None:
        super().__init__(
            f"version {current_version} is current; the plan was made from"
            f" version {plan.base_version}; look at the difference and plan"
            " again"
        )
        self.base_version = plan.base_version
        self.current_version = current_version
        self.difference = difference


class PlanService:
    """Makes plans, stores them and confirms them.

    Attributes:
        follower: Reads and writes the configuration.
        local: The configuration in force on this VM.
        key_value: Client of the key-value service.
        read_load: Reads the load of an engine.
    """

    def __init__(
        self,
        follower: configuration_follower.Follower,
        key_value: keyvalue.KeyValue,
        read_load: ReadLoad,
    ) -> None:
        self.follower = follower
        self.local = follower.local
        self.key_value = key_value
        self.read_load = read_load

    async def _revert_target(
        self, state: sections.State, intent: intents.Intent
    ) -> configuration.Configuration | None:
        if intent.revert_to is None:
            return None
        return await configuration_records.read_version(
            self.key_value, state, intent.revert_to
        )

    async def make(
        self, intent: intents.Intent, *, author: str
    ) -> configuration_plan.Plan:
        """Makes and stores the plan of an intent.

        Raises:
            BadRequestError: The intent leads to no valid configuration.
            NotFoundError: The version to revert to is not stored.
            KeyValueError: The service did not answer.
        """
        await self.follower.read_latest()
        state = self.local.state
        current = state.configuration
        revert_target = await self._revert_target(state, intent)
        plan, wanted = configuration_plan.make_plan(
            current, intent, author=author, revert_target=revert_target
        )
        loads = {
            name: await self.read_load(current.endpoints[name].url)
            for name in effects.affected_endpoints(current, wanted)
            if current.endpoints[name].kind == configuration.ENGINE
        }
        plan.effects = effects.list_effects(current, wanted, loads)
        plan.expires_at = time.time() + PLAN_LIFETIME_S
        await self._store_plan(plan)
        return plan

    async def _store_plan(self, plan: configuration_plan.Plan) -> None:
        """Stores a plan until it expires; repeating the write is harmless."""
        lease_id = await self.key_value.grant(PLAN_LIFETIME_S)
        puts = configuration_records.split_value(
            PLANS_PREFIX + plan.id, msgspec.json.encode(plan)
        )
        for put in puts:
            put.lease_id = lease_id
        for attempt in range(WRITE_ATTEMPTS):
            try:
                await self.key_value.transact([], puts)
                return
            except errors.KeyValueUnknownError:
                if attempt == WRITE_ATTEMPTS - 1:
                    raise

    async def find(self, plan_id: str) -> configuration_plan.Plan:
        """Returns a stored plan.

        Raises:
            NotFoundError: There is no such plan, or it expired.
            KeyValueError: The service did not answer.
        """
        values = configuration_records.join_values(
            await self.key_value.list_prefix(f"{PLANS_PREFIX}{plan_id}/")
        )
        if PLANS_PREFIX + plan_id not in values:
            message = f"plan {plan_id} does not exist or expired; plan again"
            raise errors.NotFoundError(message)
        return msgspec.json.decode(
            values[PLANS_PREFIX + plan_id], type=configuration_plan.Plan
        )

    async def confirm(self, plan_id: str, *, author: str) -> int:
        """Puts a plan in force and returns the version that it led to.

        To confirm a plan again has no further effect.

        Raises:
            PlanConflictError: The plan's base is no longer current.
            NotFoundError: There is no such plan, or it expired.
            KeyValueUnknownError: The outcome is not known.
            KeyValueError: The service did not accept the call.
        """
        version = configuration_plan.parse_version(plan_id)
        await self.follower.read_latest()
        if await configuration_records.find_record(
            self.key_value, plan_id, version
        ):
            return version
        plan = await self.find(plan_id)
        state = self.local.state
        if plan.base_version != state.head.version:
            raise await self._conflict_error(plan)
        revert_target = await self._revert_target(state, plan.intent)
        wanted = intents.apply_intent(
            state.configuration, plan.intent, revert_target=revert_target
        )
        try:
            await self.follower.commit(
                state,
                wanted,
                operation_id=plan_id,
                author=author,
                planned_by=plan.author,
                intent=msgspec.json.encode(plan.intent),
            )
        except errors.ConflictError:
            await self.follower.read_latest()
            raise await self._conflict_error(plan) from None
        logs.event(
            "plan_confirmed", plan=plan_id, version=version, author=author
        )
        return version

    async def _conflict_error(
        self, plan: configuration_plan.Plan
    ) -> PlanConflictError:
        """Returns the error with the changes since the plan's base version."""
        state = self.local.state
        base = await configuration_records.read_version(
            self.key_value, state, plan.base_version
        )
        changes = configuration_plan.list_field_changes(
            base, state.configuration
        )
        logs.event(
            "plan_refused",
            plan=plan.id,
            base=plan.base_version,
            current=state.head.version,
        )
        return PlanConflictError(plan, state.head.version, changes)

    async def operation_state(self, operation_id: str) -> dict[str, Any]:
        """Returns whether an operation took effect: its state and version.

        Raises:
            NotFoundError: The id is not the id of an operation.
            KeyValueError: The service did not answer.
        """
        version = configuration_plan.parse_version(operation_id)
        head, _ = await configuration_records.read_head(self.key_value)
        record = await configuration_records.find_record(
            self.key_value, operation_id, version
        )
        if record is not None:
            return {
                "operation": operation_id,
                "state": "done",
                "version": version,
            }
        # A write in flight can still take effect as long as its base version
        # is current.
        state = "pending" if head.version == version - 1 else "not_done"
        return {"operation": operation_id, "state": state, "version": None}
