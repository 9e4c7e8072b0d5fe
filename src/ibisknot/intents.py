"""Intents: the changes to the configuration that operators request."""

from typing import Any

import msgspec

from ibisknot import configuration
from ibisknot import errors

ENTRY_KINDS = ("organisations", "models", "endpoints", "routes")


class Intent(msgspec.Struct, forbid_unknown_fields=True):
    """A change, as a JSON merge patch for the entries of each kind.

    An object under a name sets the given fields of that entry and leaves its
    other fields unchanged; null removes the entry.

    Attributes:
        organisations: Organisations by name.
        models: Models by name.
        endpoints: Endpoints by name.
        routes: Routes by name.
        policy: Fields of the policy to set.
        replace: Whether to remove the entries that the intent does not name.
        revert_to: Version whose content to restore; None for no revert.
    """

    organisations: dict[str, dict[str, Any] | None] = {}
    models: dict[str, dict[str, Any] | None] = {}
    endpoints: dict[str, dict[str, Any] | None] = {}
    routes: dict[str, dict[str, Any] | None] = {}
    policy: dict[str, Any] = {}
    replace: bool = False
    revert_to: int | None = None


def _apply_merge_patch(base: Any, patch: Any) -> Any:
    """Applies a JSON merge patch (RFC 7396)."""
    if not isinstance(patch, dict):
        return patch
    merged = dict(base) if isinstance(base, dict) else {}
    for name, value in patch.items():
        if value is None:
            merged.pop(name, None)
        else:
            merged[name] = _apply_merge_patch(merged.get(name), value)
    return merged


def revert(
    current: configuration.Configuration, target: configuration.Configuration
) -> configuration.Configuration:
    """Returns the content of an older version as the next version.

    Only keys that are still valid are restored, so a key that was withdrawn
    since then stays invalid.
    """
    owners_by_digest = configuration.index_keys(current)
    organisations = {}
    for name, organisation in target.organisations.items():
        keys = {
            key_id: key
            for key_id, key in organisation.keys.items()
            if owners_by_digest.get(key.digest)
            == configuration.KeyOwner(name, key_id)
        }
        organisations[name] = msgspec.structs.replace(organisation, keys=keys)
    return msgspec.structs.replace(
        target, version=current.version + 1, organisations=organisations
    )


def apply_intent(
    current: configuration.Configuration,
    intent: Intent,
    *,
    revert_target: configuration.Configuration | None = None,
) -> configuration.Configuration:
    """Returns the configuration that an intent leads to, as the next version.

    Args:
        current: The current configuration.
        intent: The intent.
        revert_target: The configuration of version `intent.revert_to`.

    Raises:
        BadRequestError: The result is not a valid configuration.

    >>> before = configuration.Configuration()
    >>> after = apply_intent(before, Intent(models={"small": {}}))
    >>> after.version, list(after.models)
    (1, ['small'])
    """
    if revert_target is not None:
        if intent != Intent(revert_to=intent.revert_to):
            message = "an intent with revert_to must have no other fields"
            raise errors.BadRequestError(message)
        return revert(current, revert_target)
    fields = msgspec.to_builtins(current)
    for kind in ENTRY_KINDS:
        patch = getattr(intent, kind)
        base = {} if intent.replace else fields[kind]
        fields[kind] = _apply_merge_patch(base, patch)
    fields["policy"] = _apply_merge_patch(fields["policy"], intent.policy)
    fields["version"] = current.version + 1
    try:
        wanted = msgspec.convert(fields, configuration.Configuration)
    except msgspec.ValidationError as error:
        raise errors.BadRequestError(f"invalid intent: {error}") from None
    _check_references(wanted)
    return wanted


def _check_references(wanted: configuration.Configuration) -> None:
    """Checks names, references between entries, and that keys are unique.

    Raises:
        BadRequestError: A check failed.
    """
    for name in wanted.models:
        if ":" in name:
            message = f"model {name} has a colon, which separates adapter names"
            raise errors.BadRequestError(message)
    for name, endpoint in wanted.endpoints.items():
        if endpoint.kind != configuration.ENGINE:
            continue
        for model in endpoint.serves:
            if model not in wanted.models:
                message = f"endpoint {name} serves unknown model {model}"
                raise errors.BadRequestError(message)
    digests: set[str] = set()
    for name, organisation in wanted.organisations.items():
        for key_id, key in organisation.keys.items():
            if key.digest in digests:
                message = (
                    f"key {name}/{key_id} has the same digest as another key"
                )
                raise errors.BadRequestError(message)
            digests.add(key.digest)
