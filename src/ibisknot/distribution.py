"""The configuration in force on a VM, and the messages that distribute it.

This module does no I/O; `configuration_follower` sends and receives the
messages. A digest (`ConfigDigest`) states the sender's version. A delta
(`ConfigDelta`) carries what leads from a peer's version to the sender's, and
the evidence that the sender's version is current.
"""

from collections.abc import Callable
from typing import Any

import anyio
import msgspec

from ibisknot import configuration
from ibisknot import errors
from ibisknot import freshness
from ibisknot import logs
from ibisknot import metrics
from ibisknot import sections
from ibisknot.gen.config import ttypes

MAX_RECENT_VERSIONS = 256
"""Versions whose changes are retained, to send them to peers as deltas."""
MAX_DELTA_BYTES = 1_000_000
"""Encoded changes in one delta; above it, whole sections are sent."""


class LocalConfiguration:
    """The configuration in force on this VM.

    Attributes:
        vm_name: This VM's name.
        listed_vms: Returns the names of the listed VMs.
        state: The state in force; its version only increases.
        key_owners: Owner of each valid API key by the key's hash.
        changed: Set, and replaced by a new event, at each new version. A
            caller that waits for changes must read this attribute before it
            reads the state.
        recent_changes: Encoded changes of the newest versions by version.
        confirmed_s: Monotonic time at which the key-value service last
            confirmed, here or at another VM, that the version was current.
        last_report_s: Monotonic time of the last report from each VM, direct
            or through other VMs, by the hash of its name.
    """

    def __init__(
        self, *, vm_name: str, listed_vms: Callable[[], list[str]]
    ) -> None:
        self.vm_name = vm_name
        self.listed_vms = listed_vms
        self.state = sections.empty_state()
        self.key_owners: dict[str, configuration.KeyOwner] = {}
        self.changed = anyio.Event()
        self.recent_changes: dict[int, bytes] = {}
        self.confirmed_s = float("-inf")
        self.last_report_s: dict[int, float] = {}

    @property
    def current(self) -> configuration.Configuration:
        """The configuration in force."""
        return self.state.configuration

    def is_key_valid(self, digest: str) -> bool:
        """Returns whether the key with a hash is valid at this version."""
        return digest in self.key_owners

    def is_fresh(self, now: float) -> bool:
        """Returns whether the version is known to be recent enough.

        Only then may requests that need an API key be served.
        """
        return freshness.is_fresh(
            now,
            version=self.state.head.version,
            confirmed_s=self.confirmed_s,
            last_report_s=self.last_report_s,
            listed_vms=self.listed_vms(),
            vm_name=self.vm_name,
        )

    def check_fresh(self, now: float) -> None:
        """Refuses a request with an API key if this VM may be disconnected.

        Raises:
            StaleConfigurationError: This VM cannot confirm that its keys are
                current.
        """
        if not self.is_fresh(now):
            message = "this VM cannot confirm that its keys are current"
            raise errors.StaleConfigurationError(message, retry_after_s=1.0)

    def adopt(self, state: sections.State, changes: list[bytes]) -> bool:
        """Puts a state in force if its version is newer.

        Args:
            state: The new state; its sections match its digests.
            changes: Encoded changes of the newest versions that lead to it,
                oldest first.

        Returns:
            Whether the state was put in force.
        """
        version = state.head.version
        if version <= self.state.head.version:
            return False
        is_complete = len(changes) == version - self.state.head.version
        self.state = state
        if is_complete:
            self.key_owners = _update_key_owners(self.key_owners, changes)
        else:
            self.key_owners = configuration.index_keys(state.configuration)
        first = version - len(changes) + 1
        for change_version, data in enumerate(changes, start=first):
            self.recent_changes[change_version] = data
        for change_version in sorted(self.recent_changes)[
            :-MAX_RECENT_VERSIONS
        ]:
            del self.recent_changes[change_version]
        metrics.CONFIGURATION_VERSION.set({}, version)
        logs.event("configuration_in_force", version=version)
        self.changed.set()
        self.changed = anyio.Event()
        return True

    def record_confirmation(self, confirmed_s: float) -> None:
        """Records when the service confirmed the version in force.

        Args:
            confirmed_s: Monotonic time of the confirmation.
        """
        self.confirmed_s = max(self.confirmed_s, confirmed_s)

    def build_digest(
        self, *, wants_reports: bool = False, with_digests: bool = False
    ) -> Any:
        """Returns the message that requests newer versions from a peer.

        Args:
            wants_reports: Whether the peer is to send its `last_report_s`,
                which the messages call `heard`.
            with_digests: Whether to send the digests of this VM's sections,
                so that the peer can answer with whole sections.
        """
        digests = self.state.head.digests if with_digests else None
        return ttypes.ConfigDigest(
            vm=self.vm_name,
            version=self.state.head.version,
            wants_heard=wants_reports,
            digests=digests,
        )

    def build_delta(self, digest: Any, now: float) -> Any:
        """Returns what leads from the version of a peer's digest to this VM's.

        Args:
            digest: The peer's `ConfigDigest`.
            now: Monotonic time.
        """
        age_s = now - self.confirmed_s
        reports = b""
        if digest.wants_heard:
            reports = freshness.encode_reports(now, self.last_report_s)
        delta = ttypes.ConfigDelta(
            vm=self.vm_name,
            version=self.state.head.version,
            service_age_ms=-1 if age_s > 3600 else int(age_s * 1000) + 1,
            heard=reports,
            needs_digests=False,
        )
        if digest.version < self.state.head.version:
            self._add_newer_state(delta, digest.version, digest.digests)
        return delta

    def _add_newer_state(
        self, delta: Any, base_version: int, digests: dict[str, str] | None
    ) -> None:
        """Adds the changes, or else the sections that differ, to a delta."""
        head = self.state.head
        versions = range(base_version + 1, head.version + 1)
        changes = [self.recent_changes.get(number) for number in versions]
        available = [data for data in changes if data is not None]
        is_complete = len(available) == len(versions)
        if is_complete and sum(map(len, available)) <= MAX_DELTA_BYTES:
            delta.changes = available
        elif digests is None:
            delta.needs_digests = True
            return
        else:
            delta.groups = {
                section: sections.encode_section(self.current, section)
                for section in sections.differing_sections(
                    digests, head.digests
                )
            }
        delta.head = msgspec.json.encode(head)

    def build_push(self) -> Any:
        """Returns the delta that carries the newest version to any VM."""
        digest = ttypes.ConfigDigest(
            vm=self.vm_name,
            version=self.state.head.version - 1,
            wants_heard=False,
        )
        return self.build_delta(digest, 0.0)

    def apply_delta(self, delta: Any) -> bool:
        """Puts the state of a peer's delta in force if it is newer.

        Returns:
            Whether this VM's version is now at least the peer's.
        """
        if delta.head is not None:
            head = msgspec.json.decode(delta.head, type=sections.Head)
            if head.version > self.state.head.version:
                self._apply_newer(head, delta)
        return self.state.head.version >= delta.version

    def _apply_newer(self, head: sections.Head, delta: Any) -> None:
        """Puts a delta in force if the result matches the digests in `head`."""
        if delta.changes is None:
            new_state = sections.assemble_state(
                self.state, head, delta.groups or {}
            )
            if new_state is not None:
                self.adopt(new_state, [])
            return
        # Some of the versions in the delta may have come from another peer
        # in the meantime.
        newer_count = head.version - self.state.head.version
        changes = delta.changes[-newer_count:]
        decoded = [
            msgspec.json.decode(data, type=list[sections.EntryChange])
            for data in changes
        ]
        new_state = sections.apply_versions(self.state, head, decoded)
        if new_state is not None:
            self.adopt(new_state, changes)

    def merge_evidence(self, delta: Any, requested_s: float) -> None:
        """Merges the evidence in a peer's delta, as of the time of the request.

        The delta may have been delayed, so its ages count from the time of
        the request. The evidence of a peer with a newer version is ignored,
        because it concerns a version that this VM does not have.

        Args:
            delta: The peer's `ConfigDelta`.
            requested_s: Monotonic time at which it was requested.
        """
        if delta.version > self.state.head.version:
            return
        if delta.service_age_ms >= 0:
            self.record_confirmation(requested_s - delta.service_age_ms / 1000)
        vm_hash = freshness.vm_hash(delta.vm)
        freshness.merge_reports(self.last_report_s, delta.heard, requested_s)
        self.last_report_s[vm_hash] = max(
            requested_s, self.last_report_s.get(vm_hash, requested_s)
        )


def _update_key_owners(
    owners: dict[str, configuration.KeyOwner], changes: list[bytes]
) -> dict[str, configuration.KeyOwner]:
    """Returns the owners of the valid keys after further versions.

    To rebuild the whole index would block the event loop for 16 ms at 6,800
    organisations with three keys each.

    Args:
        owners: Owners before the changes by the keys' hashes.
        changes: Encoded changes of each version, oldest first.
    """
    updated = dict(owners)
    for data in changes:
        decoded = msgspec.json.decode(data, type=list[sections.EntryChange])
        organisation_changes = [
            c for c in decoded if c.kind == sections.ORGANISATIONS
        ]
        for change in organisation_changes:
            for key in (change.before or {}).get("keys", {}).values():
                updated.pop(key["digest"], None)
        for change in organisation_changes:
            for key_id, key in (change.after or {}).get("keys", {}).items():
                owner = configuration.KeyOwner(change.name, key_id)
                updated[key["digest"]] = owner
    return updated
