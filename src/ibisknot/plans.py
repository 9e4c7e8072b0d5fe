"""Plans in the key-value service: made, kept for a while, confirmed."""

from collections.abc import Awaitable
from collections.abc import Callable
import time
from typing import Any

import msgspec

from ibisknot import commit
from ibisknot import configuration
from ibisknot import effects
from ibisknot import errors
from ibisknot import follow
from ibisknot import groups
from ibisknot import intent as intent_module
from ibisknot import keyvalue
from ibisknot import logs
from ibisknot import plan as plan_module

PLANS = "/ibisknot/plans/"
PLAN_LIFETIME_S = 900.0
WRITE_TRIES = 3

LoadCall = Callable[[str], Awaitable[effects.Load | None]]
"""Returns the load of the endpoint with a URL, None when not known."""


class PlanConflictError(errors.ConflictError):
    """The plan was made from a version that is no longer current.

    Attributes:
        base_version: The version that the plan was made from.
        current_version: The version now.
        difference: What changed in between.
    """

    def __init__(
        self,
        plan: plan_module.Plan,
        current: int,
        difference: list[plan_module.Difference],
    ) -> None:
        super().__init__(
            f"version {current} is current; the plan was made from version"
            f" {plan.base_version}; look at the difference and plan again"
        )
        self.base_version = plan.base_version
        self.current_version = current
        self.difference = difference


class Plans:
    """Makes plans and confirms them."""

    def __init__(
        self,
        follower: follow.Follower,
        store: keyvalue.KeyValue,
        load: LoadCall,
    ) -> None:
        self.follower = follower
        self.source = follower.source
        self.store = store
        self.load = load

    async def _old(
        self, state: groups.State, intent: intent_module.Intent
    ) -> configuration.Configuration | None:
        if intent.revert_to is None:
            return None
        return await commit.at_version(self.store, state, intent.revert_to)

    async def make(
        self, intent: intent_module.Intent, *, author: str
    ) -> plan_module.Plan:
        """Makes and keeps the plan of an intent.

        Raises:
            BadRequestError: The intent leads to no valid configuration.
            NotFoundError: The version to revert to is not kept.
            KeyValueError: The service did not answer.
        """
        await self.follower.read()
        state = self.source.state
        current = state.configuration
        old = await self._old(state, intent)
        made, wanted = plan_module.make(current, intent, author=author, old=old)
        loads = {
            name: await self.load(current.endpoints[name].url)
            for name in effects.disturbed(current, wanted)
            if current.endpoints[name].kind == configuration.ENGINE
        }
        made.effects = effects.effects(current, wanted, loads)
        made.expires_at = time.time() + PLAN_LIFETIME_S
        await self._keep(made)
        return made

    async def _keep(self, made: plan_module.Plan) -> None:
        """Stores a plan; to store it twice changes nothing."""
        lease = await self.store.grant(PLAN_LIFETIME_S)
        puts = commit.split(PLANS + made.id, msgspec.json.encode(made))
        for put in puts:
            put.lease_id = lease
        for attempt in range(WRITE_TRIES):
            try:
                await self.store.transact([], puts)
                return
            except errors.KeyValueUnknownError:
                if attempt == WRITE_TRIES - 1:
                    raise

    async def find(self, plan: str) -> plan_module.Plan:
        """Returns a plan that was made before.

        Raises:
            NotFoundError: There is no such plan, or it expired.
            KeyValueError: The service did not answer.
        """
        found = commit.join(await self.store.list_prefix(f"{PLANS}{plan}/"))
        if PLANS + plan not in found:
            message = f"plan {plan} does not exist or expired; plan again"
            raise errors.NotFoundError(message)
        return msgspec.json.decode(found[PLANS + plan], type=plan_module.Plan)

    async def confirm(self, plan: str, *, author: str) -> int:
        """Puts a plan in force, once; returns the version that it led to.

        Raises:
            PlanConflictError: The plan's base is no longer current.
            NotFoundError: There is no such plan, or it expired.
            KeyValueUnknownError: The outcome is not known.
            KeyValueError: The service did not take the call.
        """
        version = plan_module.version_of(plan)
        await self.follower.read()
        if await commit.written_version(self.store, plan, version):
            return version
        made = await self.find(plan)
        state = self.source.state
        if made.base_version != state.head.version:
            raise await self._conflict(made)
        old = await self._old(state, made.intent)
        wanted = intent_module.apply(state.configuration, made.intent, old=old)
        try:
            await self.follower.commit(
                state,
                wanted,
                operation=plan,
                author=author,
                planned_by=made.author,
                intent=msgspec.json.encode(made.intent),
            )
        except errors.ConflictError:
            await self.follower.read()
            raise await self._conflict(made) from None
        logs.event("plan_confirmed", plan=plan, version=version, author=author)
        return version

    async def _conflict(self, made: plan_module.Plan) -> PlanConflictError:
        """Returns the refusal, with what changed since the plan's base."""
        state = self.source.state
        base = await commit.at_version(self.store, state, made.base_version)
        changed = plan_module.difference(base, state.configuration)
        logs.event(
            "plan_refused",
            plan=made.id,
            base=made.base_version,
            current=state.head.version,
        )
        return PlanConflictError(made, state.head.version, changed)

    async def operation(self, operation: str) -> dict[str, Any]:
        """Returns whether an operation took effect.

        Raises:
            NotFoundError: The id is no operation's id.
            KeyValueError: The service did not answer.
        """
        version = plan_module.version_of(operation)
        head, _ = await commit.read_head(self.store)
        found = await commit.written_version(self.store, operation, version)
        if found is not None:
            return {"operation": operation, "state": "done", "version": version}
        # A write that is still under way can take effect as long as its base
        # is current.
        state = "pending" if head.version == version - 1 else "not_done"
        return {"operation": operation, "state": state, "version": None}
