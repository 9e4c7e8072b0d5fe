"""Plans: the changes that an intent causes to one version."""

import hashlib
from typing import Any

import msgspec

from ibisknot import configuration
from ibisknot import effects
from ibisknot import errors
from ibisknot import intents
from ibisknot import sections


class FieldChange(msgspec.Struct):
    """One changed field.

    Attributes:
        path: Path of the field, such as `organisations/a/rate_per_s`.
        before: Its value before the change; None if absent.
        after: Its value after the change; None if absent.
    """

    path: str
    before: Any
    after: Any


class Plan(msgspec.Struct):
    """The change of an intent, to be confirmed while its base is current.

    Attributes:
        id: Id of the plan, which is also the id of the write operation.
        author: The operator who made the plan.
        base_version: The version that the plan was made from.
        intent: The intent.
        changes: All fields that change.
        effects: Effects on capacity, running work and limits.
        warnings: What callers lose by the change.
        expires_at: Wall-clock time in seconds after which the plan cannot be
            confirmed.
    """

    id: str
    author: str
    base_version: int
    intent: intents.Intent
    changes: list[FieldChange]
    effects: list[effects.Effect]
    warnings: list[str]
    expires_at: float = 0.0


def _flatten(value: Any, path: str, fields: dict[str, Any]) -> None:
    if isinstance(value, dict) and value:
        for name, child in value.items():
            _flatten(child, f"{path}/{name}", fields)
    else:
        fields[path] = value


def list_field_changes(
    before: configuration.Configuration, after: configuration.Configuration
) -> list[FieldChange]:
    """Returns the changed fields in order of path, without the version."""
    old: dict[str, Any] = {}
    new: dict[str, Any] = {}
    for change in sections.list_changes(before, after):
        path = f"{change.kind}/{change.name}"
        if change.kind == sections.POLICY:
            path = sections.POLICY
        if change.before is not None:
            _flatten(change.before, path, old)
        if change.after is not None:
            _flatten(change.after, path, new)
    return [
        FieldChange(path, old.get(path), new.get(path))
        for path in sorted(old.keys() | new.keys())
        if old.get(path) != new.get(path)
    ]


def parse_version(plan_id: str) -> int:
    """Returns the version that a plan leads to, from the id of the plan.

    Raises:
        NotFoundError: The id is not the id of a plan.

    >>> parse_version("plan-7-0123456789abcdef")
    7
    """
    parts = plan_id.split("-")
    if len(parts) != 3 or parts[0] != "plan" or not parts[1].isdigit():
        raise errors.NotFoundError(f"{plan_id!r} is not the id of a plan")
    return int(parts[1])


def make_plan(
    current: configuration.Configuration,
    intent: intents.Intent,
    *,
    author: str,
    revert_target: configuration.Configuration | None = None,
) -> tuple[Plan, configuration.Configuration]:
    """Makes the plan of an intent against the current configuration.

    Args:
        current: The current configuration.
        intent: The intent.
        author: The operator who makes the plan.
        revert_target: The configuration to revert to, if the intent is a
            revert.

    Returns:
        The plan without effects, and the configuration that it leads to.

    Raises:
        BadRequestError: The intent leads to no valid configuration.
    """
    wanted = intents.apply_intent(current, intent, revert_target=revert_target)
    content = msgspec.json.encode(
        (current.version, author, intent), order="sorted"
    )
    digest = hashlib.sha256(content).hexdigest()[:16]
    plan = Plan(
        id=f"plan-{wanted.version}-{digest}",
        author=author,
        base_version=current.version,
        intent=intent,
        changes=list_field_changes(current, wanted),
        effects=[],
        warnings=effects.list_warnings(current, wanted),
    )
    return plan, wanted
