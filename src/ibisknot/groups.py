"""Groups of the configuration: changes, digests and states by group.

Organisations are spread over chunks by hash, so that no stored value comes
near the key-value service's limit and a change rewrites one chunk only.
"""

import functools
from typing import Any

import msgspec
import xxhash

from ibisknot import configuration

ORGANISATIONS = "organisations"
POLICY = "policy"
CHUNK_COUNT = 32
KINDS: dict[str, type[Any]] = {
    ORGANISATIONS: configuration.Organisation,
    "models": configuration.Model,
    "endpoints": configuration.Endpoint,
    "routes": configuration.Route,
    POLICY: configuration.Policy,
}


class EntryChange(msgspec.Struct):
    """One changed entry; `before` or `after` is None when absent.

    Attributes:
        kind: The kind of the entry, such as `organisations`.
        name: Its name.
        before: Its fields before the change.
        after: Its fields after the change.
    """

    kind: str
    name: str
    before: Any = None
    after: Any = None


class Head(msgspec.Struct):
    """What identifies the state of a version.

    Attributes:
        version: The version.
        operation: The operation that wrote it.
        digests: Digest of each group that has entries.
    """

    version: int = 0
    operation: str = ""
    digests: dict[str, str] = {}


class State(msgspec.Struct):
    """A configuration whose groups match the head's digests."""

    head: Head
    configuration: configuration.Configuration


@functools.lru_cache(maxsize=32_768)
def group_of(kind: str, name: str) -> str:
    """Returns the group that an entry belongs to.

    >>> group_of("models", "small")
    'models'
    >>> group_of("organisations", "a") == group_of("organisations", "a")
    True
    """
    if kind != ORGANISATIONS:
        return kind
    chunk = xxhash.xxh3_64_intdigest(name.encode()) % CHUNK_COUNT
    return f"{ORGANISATIONS}/{chunk:02d}"


def entries_of(
    source: configuration.Configuration, kind: str
) -> dict[str, Any]:
    """Returns the entries of a kind by name."""
    if kind == POLICY:
        return {POLICY: source.policy}
    found: dict[str, Any] = getattr(source, kind)
    return found


def group_entries(
    source: configuration.Configuration, group: str
) -> dict[str, Any]:
    """Returns the entries of one group by name."""
    kind = group.partition("/")[0]
    entries = entries_of(source, kind)
    if kind != ORGANISATIONS:
        return entries
    return {n: e for n, e in entries.items() if group_of(kind, n) == group}


def encode_group(source: configuration.Configuration, group: str) -> bytes:
    """Encodes a group as canonical JSON."""
    return msgspec.json.encode(group_entries(source, group), order="sorted")


def group_digest(data: bytes) -> str:
    """Returns the digest of an encoded group."""
    return xxhash.xxh3_64_hexdigest(data)


def all_groups(source: configuration.Configuration) -> set[str]:
    """Returns the groups that have entries."""
    return {
        group_of(kind, name)
        for kind in KINDS
        for name in entries_of(source, kind)
    }


def digests(source: configuration.Configuration) -> dict[str, str]:
    """Returns the digest of each group that has entries."""
    return {
        group: group_digest(encode_group(source, group))
        for group in sorted(all_groups(source))
    }


def empty() -> State:
    """Returns the state before the first change."""
    first = configuration.Configuration()
    return State(Head(digests=digests(first)), first)


def differences(
    before: configuration.Configuration, after: configuration.Configuration
) -> list[EntryChange]:
    """Returns the entries that differ, in order of kind and name."""
    found = []
    for kind in KINDS:
        old, new = entries_of(before, kind), entries_of(after, kind)
        for name in sorted(old.keys() | new.keys()):
            if old.get(name) == new.get(name):
                continue
            change = EntryChange(
                kind,
                name,
                msgspec.to_builtins(old.get(name)),
                msgspec.to_builtins(new.get(name)),
            )
            found.append(change)
    return found


def touched(changes: list[EntryChange]) -> set[str]:
    """Returns the groups that changes belong to."""
    return {group_of(change.kind, change.name) for change in changes}


def apply(
    base: configuration.Configuration,
    changes: list[EntryChange],
    *,
    version: int,
    backward: bool = False,
) -> configuration.Configuration:
    """Returns the configuration after changes, or before when backward."""
    made = configuration.Configuration(
        version=version,
        organisations=dict(base.organisations),
        models=dict(base.models),
        endpoints=dict(base.endpoints),
        routes=dict(base.routes),
        policy=base.policy,
    )
    for change in changes:
        value = change.before if backward else change.after
        if change.kind == POLICY:
            made.policy = msgspec.convert(value or {}, configuration.Policy)
        elif value is None:
            entries_of(made, change.kind).pop(change.name, None)
        else:
            entry = msgspec.convert(value, KINDS[change.kind])
            entries_of(made, change.kind)[change.name] = entry
    return made


def next_digests(
    before: dict[str, str],
    after: configuration.Configuration,
    changed: set[str],
) -> dict[str, str]:
    """Returns the digests after a change of some groups."""
    found = dict(before)
    for group in changed:
        entries = group_entries(after, group)
        if entries:
            data = msgspec.json.encode(entries, order="sorted")
            found[group] = group_digest(data)
        else:
            found.pop(group, None)
    return found


def advance(
    state: State, head: Head, changes: list[list[EntryChange]]
) -> State | None:
    """Returns the state that the changes of following versions lead to.

    Returns:
        The state at the head's version, or None when the result does not
        match the head's digests, or when versions are missing.
    """
    if state.head.version + len(changes) != head.version:
        return None
    flat = [change for version in changes for change in version]
    after = apply(state.configuration, flat, version=head.version)
    found = next_digests(state.head.digests, after, touched(flat))
    return State(head, after) if found == head.digests else None


def assemble(
    state: State, head: Head, groups: dict[str, bytes]
) -> State | None:
    """Returns the state at a head from whole groups and own matching ones.

    Returns:
        The state, or None when a group is missing or does not match.
    """
    made = configuration.Configuration(version=head.version)
    for group, wanted in head.digests.items():
        if group in groups:
            data = groups[group]
        else:
            data = encode_group(state.configuration, group)
        if group_digest(data) != wanted:
            return None
        kind = group.partition("/")[0]
        raw = msgspec.json.decode(data)
        found = {n: msgspec.convert(e, KINDS[kind]) for n, e in raw.items()}
        if kind == POLICY:
            made.policy = found[POLICY]
        else:
            entries_of(made, kind).update(found)
    return State(head, made)


def differing(own: dict[str, str], wanted: dict[str, str]) -> list[str]:
    """Returns the groups of `wanted` that `own` does not match."""
    return sorted(g for g, digest in wanted.items() if own.get(g) != digest)
