"""The configuration in force on a VM, and what VMs tell each other of it.

This module does no I/O; `follow` moves its messages.
"""

from collections.abc import Callable
from typing import Any

import anyio
import msgspec

from ibisknot import configuration
from ibisknot import errors
from ibisknot import freshness
from ibisknot import groups
from ibisknot import logs
from ibisknot import metrics
from ibisknot.gen.config import ttypes

RECENT_VERSIONS = 256
DELTA_BYTES = 1_000_000


class Distribution:
    """The configuration in force on this VM.

    Attributes:
        me: This VM's name.
        listed: Returns the names of the listed VMs.
        state: The state in force; its version only goes up.
        keys: Owner of each valid key by the key's hash.
        changed: Set, and replaced by a new event, at each new version. To
            wait for changes, take the event before looking at the state.
        recent: Encoded changes of the newest versions by version.
        service_s: Monotonic time at which the key-value service last
            confirmed, here or at another VM, that the version was current.
        heard: Time at which each VM was last heard of, by hash of its name.
    """

    def __init__(self, *, me: str, listed: Callable[[], list[str]]) -> None:
        self.me = me
        self.listed = listed
        self.state = groups.empty()
        self.keys: dict[str, configuration.KeyOwner] = {}
        self.changed = anyio.Event()
        self.recent: dict[int, bytes] = {}
        self.service_s = float("-inf")
        self.heard: dict[int, float] = {}

    @property
    def current(self) -> configuration.Configuration:
        """The configuration in force."""
        return self.state.configuration

    def key_valid(self, digest: str) -> bool:
        """Returns whether a key, given by its hash, works at this version."""
        return digest in self.keys

    def is_current(self, now: float) -> bool:
        """Returns whether requests that need a key may be served."""
        return freshness.is_current(
            now,
            version=self.state.head.version,
            service_s=self.service_s,
            heard=self.heard,
            listed=self.listed(),
            me=self.me,
        )

    def check_current(self, now: float) -> None:
        """Refuses a keyed request on a VM that may be cut off.

        Raises:
            StaleConfigurationError: This VM cannot know whether keys are
                current.
        """
        if not self.is_current(now):
            message = "this VM cannot confirm that its keys are current"
            raise errors.StaleConfigurationError(message, retry_after_s=1.0)

    def adopt(self, state: groups.State, changes: list[bytes]) -> bool:
        """Puts a state in force unless it is older.

        Args:
            state: The state, which matches its digests.
            changes: Encoded changes of the versions that lead to it.
        """
        version = state.head.version
        if version <= self.state.head.version:
            return False
        complete = len(changes) == version - self.state.head.version
        self.state = state
        if complete:
            self.keys = _next_keys(self.keys, changes)
        else:
            self.keys = configuration.key_index(state.configuration)
        first = version - len(changes) + 1
        for number, data in enumerate(changes, start=first):
            self.recent[number] = data
        for number in sorted(self.recent)[:-RECENT_VERSIONS]:
            del self.recent[number]
        metrics.CONFIGURATION_VERSION.set({}, version)
        logs.event("configuration_in_force", version=version)
        self.changed.set()
        self.changed = anyio.Event()
        return True

    def confirm(self, as_of: float) -> None:
        """Notes that the service confirmed the version in force."""
        self.service_s = max(self.service_s, as_of)

    def ask(
        self, *, wants_heard: bool = False, with_digests: bool = False
    ) -> Any:
        """Returns the message that asks a peer for what is newer."""
        digests = self.state.head.digests if with_digests else None
        return ttypes.ConfigDigest(
            vm=self.me,
            version=self.state.head.version,
            wants_heard=wants_heard,
            digests=digests,
        )

    def answer(self, ask: Any, now: float) -> Any:
        """Returns what leads from a peer's version to this VM's."""
        age_s = now - self.service_s
        heard = b""
        if ask.wants_heard:
            heard = freshness.encode_heard(now, self.heard)
        delta = ttypes.ConfigDelta(
            vm=self.me,
            version=self.state.head.version,
            service_age_ms=-1 if age_s > 3600 else int(age_s * 1000) + 1,
            heard=heard,
            needs_digests=False,
        )
        if ask.version < self.state.head.version:
            self._fill(delta, ask.version, ask.digests)
        return delta

    def _fill(
        self, delta: Any, version: int, digests: dict[str, str] | None
    ) -> None:
        head = self.state.head
        wanted = range(version + 1, head.version + 1)
        changes = [self.recent.get(number) for number in wanted]
        known = [data for data in changes if data is not None]
        complete = len(known) == len(wanted)
        if complete and sum(map(len, known)) <= DELTA_BYTES:
            delta.changes = known
        elif digests is None:
            delta.needs_digests = True
            return
        else:
            delta.groups = {
                group: groups.encode_group(self.current, group)
                for group in groups.differing(digests, head.digests)
            }
        delta.head = msgspec.json.encode(head)

    def push(self) -> Any:
        """Returns the message that passes the newest version on."""
        ask = ttypes.ConfigDigest(
            vm=self.me,
            version=self.state.head.version - 1,
            wants_heard=False,
        )
        return self.answer(ask, 0.0)

    def take(self, delta: Any) -> bool:
        """Puts a peer's newer state in force.

        Returns:
            Whether this VM's version is now at least the peer's.
        """
        if delta.head is not None:
            head = msgspec.json.decode(delta.head, type=groups.Head)
            if head.version > self.state.head.version:
                self._advance(head, delta)
        return self.state.head.version >= delta.version

    def _advance(self, head: groups.Head, delta: Any) -> None:
        if delta.changes is None:
            reached = groups.assemble(self.state, head, delta.groups or {})
            if reached is not None:
                self.adopt(reached, [])
            return
        # The peer may have sent versions that another one brought meanwhile.
        missing = head.version - self.state.head.version
        changes = delta.changes[-missing:]
        decoded = [
            msgspec.json.decode(data, type=list[groups.EntryChange])
            for data in changes
        ]
        reached = groups.advance(self.state, head, decoded)
        if reached is not None:
            self.adopt(reached, changes)

    def take_evidence(self, delta: Any, asked_s: float) -> None:
        """Takes over a peer's evidence, as of when it was asked.

        The answer may have been under way for long, so its ages count from
        the time of the question. Evidence of a peer with a newer version
        would vouch for a version that this VM does not have.
        """
        if delta.version > self.state.head.version:
            return
        if delta.service_age_ms >= 0:
            self.confirm(asked_s - delta.service_age_ms / 1000)
        number = freshness.vm_hash(delta.vm)
        freshness.merge_heard(self.heard, delta.heard, asked_s)
        self.heard[number] = max(asked_s, self.heard.get(number, asked_s))


def _next_keys(
    keys: dict[str, configuration.KeyOwner], changes: list[bytes]
) -> dict[str, configuration.KeyOwner]:
    """Returns the owners of the valid keys after changes of versions.

    An index made anew would take 16 ms at 6,800 organisations with three keys
    each, during which the process answers nobody.
    """
    found = dict(keys)
    for data in changes:
        decoded = msgspec.json.decode(data, type=list[groups.EntryChange])
        owned = [c for c in decoded if c.kind == groups.ORGANISATIONS]
        for change in owned:
            for key in (change.before or {}).get("keys", {}).values():
                found.pop(key["digest"], None)
        for change in owned:
            for key_id, key in (change.after or {}).get("keys", {}).items():
                owner = configuration.KeyOwner(change.name, key_id)
                found[key["digest"]] = owner
    return found
