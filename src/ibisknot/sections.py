"""Sections of the configuration: their entries, digests and changes.

A section holds all entries of a kind. The organisations are split into several
sections by the hash of their names, so that each stored value stays far below
the key-value service's limit and a change rewrites one of them only. Stored
data and messages call a section a group.
"""

import functools
from typing import Any

import msgspec
import xxhash

from ibisknot import configuration

ORGANISATIONS = "organisations"
POLICY = "policy"
CHUNK_COUNT = 32
"""Sections that the organisations are split into."""
ENTRY_TYPES: dict[str, type[Any]] = {
    ORGANISATIONS: configuration.Organisation,
    "models": configuration.Model,
    "endpoints": configuration.Endpoint,
    "routes": configuration.Route,
    POLICY: configuration.Policy,
}


class EntryChange(msgspec.Struct):
    """One changed entry.

    Attributes:
        kind: The kind of the entry, such as `organisations`.
        name: Its name.
        before: Its fields before the change; None if it did not exist.
        after: Its fields after the change; None if it was removed.
    """

    kind: str
    name: str
    before: Any = None
    after: Any = None


class Head(msgspec.Struct):
    """Head record, which identifies the state of a version.

    Attributes:
        version: Number of the version.
        operation: Id of the operation that wrote it.
        digests: Digest of each section that has entries.
    """

    version: int = 0
    operation: str = ""
    digests: dict[str, str] = {}


class State(msgspec.Struct):
    """A configuration whose sections match the digests of its head."""

    head: Head
    configuration: configuration.Configuration


@functools.lru_cache(maxsize=32_768)
def section_of(kind: str, name: str) -> str:
    """Returns the section that an entry belongs to.

    >>> section_of("models", "small")
    'models'
    >>> section_of("organisations", "a") == section_of("organisations", "a")
    True
    """
    if kind != ORGANISATIONS:
        return kind
    chunk = xxhash.xxh3_64_intdigest(name.encode()) % CHUNK_COUNT
    return f"{ORGANISATIONS}/{chunk:02d}"


def entries_of(
    content: configuration.Configuration, kind: str
) -> dict[str, Any]:
    """Returns the entries of a kind by name."""
    if kind == POLICY:
        return {POLICY: content.policy}
    entries: dict[str, Any] = getattr(content, kind)
    return entries


def section_entries(
    content: configuration.Configuration, section: str
) -> dict[str, Any]:
    """Returns the entries of one section by name."""
    kind = section.partition("/")[0]
    entries = entries_of(content, kind)
    if kind != ORGANISATIONS:
        return entries
    return {n: e for n, e in entries.items() if section_of(kind, n) == section}


def encode_section(content: configuration.Configuration, section: str) -> bytes:
    """Encodes a section as canonical JSON."""
    return msgspec.json.encode(
        section_entries(content, section), order="sorted"
    )


def section_digest(data: bytes) -> str:
    """Returns the digest of an encoded section."""
    return xxhash.xxh3_64_hexdigest(data)


def all_sections(content: configuration.Configuration) -> set[str]:
    """Returns the sections that have entries."""
    return {
        section_of(kind, name)
        for kind in ENTRY_TYPES
        for name in entries_of(content, kind)
    }


def section_digests(content: configuration.Configuration) -> dict[str, str]:
    """Returns the digest of each section that has entries."""
    return {
        section: section_digest(encode_section(content, section))
        for section in sorted(all_sections(content))
    }


def empty_state() -> State:
    """Returns the state before the first change."""
    content = configuration.Configuration()
    return State(Head(digests=section_digests(content)), content)


def list_changes(
    before: configuration.Configuration, after: configuration.Configuration
) -> list[EntryChange]:
    """Returns the entries that differ, in order of kind and name."""
    changes = []
    for kind in ENTRY_TYPES:
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
            changes.append(change)
    return changes


def changed_sections(changes: list[EntryChange]) -> set[str]:
    """Returns the sections that changes belong to."""
    return {section_of(change.kind, change.name) for change in changes}


def apply_changes(
    base: configuration.Configuration,
    changes: list[EntryChange],
    *,
    version: int,
    backward: bool = False,
) -> configuration.Configuration:
    """Returns a configuration with changes applied.

    Args:
        base: The configuration to start from; it is not modified.
        changes: The changes.
        version: The version of the result.
        backward: Whether to undo the changes.
    """
    content = configuration.Configuration(
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
            content.policy = msgspec.convert(value or {}, configuration.Policy)
        elif value is None:
            entries_of(content, change.kind).pop(change.name, None)
        else:
            entry = msgspec.convert(value, ENTRY_TYPES[change.kind])
            entries_of(content, change.kind)[change.name] = entry
    return content


def update_digests(
    before: dict[str, str],
    after: configuration.Configuration,
    sections: set[str],
) -> dict[str, str]:
    """Returns the digests of all sections after some have changed.

    Args:
        before: The digests before the change by section.
        after: The configuration after the change.
        sections: The changed sections.
    """
    updated = dict(before)
    for section in sections:
        entries = section_entries(after, section)
        if entries:
            data = msgspec.json.encode(entries, order="sorted")
            updated[section] = section_digest(data)
        else:
            updated.pop(section, None)
    return updated


def apply_versions(
    state: State, head: Head, changes_by_version: list[list[EntryChange]]
) -> State | None:
    """Returns the state after the changes of the next versions.

    Returns:
        The state at the head's version, or None if the result does not match
        the head's digests or versions are missing.
    """
    if state.head.version + len(changes_by_version) != head.version:
        return None
    changes = [
        change
        for version_changes in changes_by_version
        for change in version_changes
    ]
    content = apply_changes(state.configuration, changes, version=head.version)
    digests = update_digests(
        state.head.digests, content, changed_sections(changes)
    )
    return State(head, content) if digests == head.digests else None


def assemble_state(
    state: State, head: Head, encoded: dict[str, bytes]
) -> State | None:
    """Returns the state at a head from received and unchanged sections.

    Args:
        state: The own state, which provides the sections not in `encoded`.
        head: The head of the new state.
        encoded: Received sections by name.

    Returns:
        The state, or None if a section is missing or does not match.
    """
    content = configuration.Configuration(version=head.version)
    for section, digest in head.digests.items():
        if section in encoded:
            data = encoded[section]
        else:
            data = encode_section(state.configuration, section)
        if section_digest(data) != digest:
            return None
        kind = section.partition("/")[0]
        fields_by_name = msgspec.json.decode(data)
        entries = {
            n: msgspec.convert(e, ENTRY_TYPES[kind])
            for n, e in fields_by_name.items()
        }
        if kind == POLICY:
            content.policy = entries[POLICY]
        else:
            entries_of(content, kind).update(entries)
    return State(head, content)


def differing_sections(
    own: dict[str, str], wanted: dict[str, str]
) -> list[str]:
    """Returns the sections whose digest in `wanted` differs from `own`."""
    return sorted(s for s, digest in wanted.items() if own.get(s) != digest)
