"""Decides which VMs count as active, from the platform's list and probes.

The platform's list states which VMs exist. Probes only add suspicion, in the
manner of the SWIM protocol: a VM that answers no probe is suspected, and may
refute the suspicion within a time limit. The result is a hint. The functions
do no I/O; `membership_runner` sends the messages.
"""

from collections.abc import Callable
import dataclasses
import math
import random

from ibisknot import vmlist

PROBE_PERIOD_S = 0.5
PROBE_TIMEOUT_S = 0.2
INDIRECT_PROBES = 3
"""Count of VMs through which a VM that did not answer is probed again."""
SUSPICION_TIMEOUT_S = 2.0
"""Time after which a suspected VM that has not refuted is not active."""
MAX_UPDATE_BYTES = 1200
MEMBER_UPDATE_BYTES = 40
"""Size that is assumed for a `MemberUpdate` in a message."""
PAYLOAD_OVERHEAD_BYTES = 24
"""Size that is assumed for a payload's fields other than names and data."""
SEND_COUNT_FACTOR = 3
"""Sends of each item, as a multiple of log2 of the fleet's size."""


@dataclasses.dataclass(slots=True)
class Member:
    """State of one VM in a view.

    Attributes:
        vm: Its entry in the platform's list.
        incarnation: Counter that only the VM itself raises, to refute a
            suspicion.
        suspected_s: Monotonic time since which it is suspected, or None.
    """

    vm: vmlist.ListedVm
    incarnation: int = 0
    suspected_s: float | None = None


@dataclasses.dataclass(slots=True, frozen=True)
class MemberUpdate:
    """State of one member in an update.

    Attributes:
        vm: The member's name.
        is_suspected: Whether the sender suspects it; `suspect` on the wire.
        incarnation: The incarnation to which this applies.
    """

    vm: str
    is_suspected: bool
    incarnation: int


@dataclasses.dataclass(slots=True, frozen=True)
class Payload:
    """A version of a named payload that a VM publishes to all others.

    Attributes:
        vm: Name of the VM that published it.
        name: Name of the payload.
        version: Higher than that of the VM's earlier versions.
        data: Encoded content.
    """

    vm: str
    name: str
    version: int
    data: bytes

    def size_bytes(self) -> int:
        """Returns its approximate size in a message."""
        names = len(self.vm) + len(self.name)
        return names + len(self.data) + PAYLOAD_OVERHEAD_BYTES


@dataclasses.dataclass(slots=True)
class Update:
    """Changes that one message carries; `News` on the wire."""

    member_updates: list[MemberUpdate] = dataclasses.field(default_factory=list)
    payloads: list[Payload] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True)
class View:
    """One VM's view of the fleet.

    The view is a hint: safety must not depend on it.

    Attributes:
        own_name: This VM's name.
        members: The VMs on the platform's list, by name.
        incarnation: This VM's own incarnation.
        payloads: Newest payload by VM and payload name.
        max_payload_bytes: Maximum size of each registered payload, by name.
        listeners: Called with each newer payload, by payload name.
        send_counts: How often each item that is still to be sent was sent, by
            VM and payload name; the payload name is empty for member updates.
        now_s: Monotonic time of the last event.
    """

    own_name: str
    members: dict[str, Member] = dataclasses.field(default_factory=dict)
    incarnation: int = 0
    payloads: dict[tuple[str, str], Payload] = dataclasses.field(
        default_factory=dict
    )
    max_payload_bytes: dict[str, int] = dataclasses.field(default_factory=dict)
    listeners: dict[str, Callable[[Payload], None]] = dataclasses.field(
        default_factory=dict
    )
    send_counts: dict[tuple[str, str], int] = dataclasses.field(
        default_factory=dict
    )
    now_s: float = 0.0

    def active_vms(self) -> list[vmlist.ListedVm]:
        """Returns the active VMs, sorted by name."""
        return [
            self.members[name].vm
            for name in sorted(self.members)
            if self.is_active(name)
        ]

    def is_active(self, name: str) -> bool:
        """Returns whether a VM is active and may get work.

        It is active if it is on the list, not draining, and not suspected
        for longer than the timeout. The own VM is never suspected.
        """
        member = self.members.get(name)
        if member is None or member.vm.state != vmlist.ACTIVE:
            return False
        if name == self.own_name or member.suspected_s is None:
            return True
        return self.now_s - member.suspected_s < SUSPICION_TIMEOUT_S

    def register_payload(
        self,
        name: str,
        *,
        limit_bytes: int,
        listener: Callable[[Payload], None] | None = None,
    ) -> None:
        """Registers a payload, which is required to publish or receive it.

        Args:
            name: Name of the payload.
            limit_bytes: Maximum size; larger data is rejected.
            listener: Called with each newer payload of another VM.
        """
        self.max_payload_bytes[name] = limit_bytes
        if listener is not None:
            self.listeners[name] = listener

    def publish(self, name: str, data: bytes) -> None:
        """Publishes a new version of this VM's payload if it has changed.

        Raises:
            ValueError: The payload is not registered or over its limit.
        """
        if len(data) > self.max_payload_bytes.get(name, -1):
            raise ValueError(f"payload {name} of {len(data)} bytes")
        old = self.payloads.get((self.own_name, name))
        if old is not None and old.data == data:
            return
        # The incarnation starts at the wall-clock time, so that versions of a
        # restarted process are above those of its predecessor.
        version = max(old.version if old is not None else 0, self.incarnation)
        _store_payload(self, Payload(self.own_name, name, version + 1, data))


def create(own_name: str, *, incarnation: int) -> View:
    """Returns a view without members.

    Args:
        own_name: This VM's name.
        incarnation: A value above those of the VM's earlier processes, such
            as the wall-clock time in milliseconds.
    """
    return View(own_name=own_name, incarnation=incarnation)


def apply_vm_list(
    view: View, listed_vms: list[vmlist.ListedVm], now: float
) -> None:
    """Applies the platform's list, which alone adds and removes members."""
    view.now_s = now
    names = {vm.name for vm in listed_vms}
    for vm in listed_vms:
        member = view.members.get(vm.name)
        if member is None:
            view.members[vm.name] = Member(vm)
        else:
            member.vm = vm
    for name in view.members.keys() - names:
        del view.members[name]
    for key in [k for k in view.payloads if k[0] not in names]:
        del view.payloads[key]
    for key in [k for k in view.send_counts if k[0] not in names]:
        del view.send_counts[key]


def probe_candidates(view: View) -> list[str]:
    """Returns the names of the VMs to probe, sorted.

    Suspected VMs are included because they may have recovered.
    """
    return sorted(
        name
        for name, member in view.members.items()
        if name != view.own_name and member.vm.state == vmlist.ACTIVE
    )


def choose_probe_target(view: View, rng: random.Random) -> str | None:
    """Returns the name of a random VM to probe, or None without others."""
    names = probe_candidates(view)
    return rng.choice(names) if names else None


def choose_helpers(view: View, target: str, rng: random.Random) -> list[str]:
    """Returns the names of random VMs through which to probe a target."""
    names = [
        n for n in probe_candidates(view) if n != target and view.is_active(n)
    ]
    return rng.sample(names, min(INDIRECT_PROBES, len(names)))


def record_ack(view: View, name: str, now: float) -> None:
    """Records that a VM answered a probe, which ends a suspicion of it."""
    view.now_s = now
    member = view.members.get(name)
    if member is not None and member.suspected_s is not None:
        member.suspected_s = None
        view.send_counts[(name, "")] = 0


def record_probe_failure(view: View, name: str, now: float) -> None:
    """Records a suspicion of a VM that answered no direct or indirect probe."""
    view.now_s = now
    member = view.members.get(name)
    if member is not None and member.suspected_s is None:
        member.suspected_s = now
        view.send_counts[(name, "")] = 0


def apply_update(view: View, update: Update, now: float) -> None:
    """Applies an update that a peer sent, where it is newer."""
    view.now_s = now
    for member_update in update.member_updates:
        _apply_member_update(view, member_update, now)
    for payload in update.payloads:
        if payload.vm != view.own_name and payload.vm in view.members:
            _apply_payload(view, payload)


def _apply_member_update(view: View, update: MemberUpdate, now: float) -> None:
    """Applies another VM's statement about a member, or refutes a suspicion.

    A suspicion of the own VM is refuted by a higher incarnation.
    """
    if update.vm == view.own_name:
        if update.is_suspected and update.incarnation >= view.incarnation:
            view.incarnation = update.incarnation + 1
            view.send_counts[(view.own_name, "")] = 0
        return
    member = view.members.get(update.vm)
    if member is None or update.incarnation < member.incarnation:
        return
    is_newer = update.incarnation > member.incarnation
    is_suspected = member.suspected_s is not None
    # For the same incarnation a suspicion overrides its absence: only the VM
    # itself can refute it, with a higher incarnation.
    if not is_newer and (is_suspected or not update.is_suspected):
        return
    member.incarnation = update.incarnation
    member.suspected_s = now if update.is_suspected else None
    view.send_counts[(update.vm, "")] = 0


def _apply_payload(view: View, payload: Payload) -> None:
    """Stores a payload if it is newer and within its size limit."""
    if len(payload.data) > view.max_payload_bytes.get(payload.name, -1):
        return
    old = view.payloads.get((payload.vm, payload.name))
    if old is not None and old.version >= payload.version:
        return
    _store_payload(view, payload)
    listener = view.listeners.get(payload.name)
    if listener is not None:
        listener(payload)


def _store_payload(view: View, payload: Payload) -> None:
    """Stores a payload and schedules it to be sent."""
    key = (payload.vm, payload.name)
    view.payloads[key] = payload
    view.send_counts[key] = 0


def compose_update(
    view: View, *, receiver: str = "", max_bytes: int = MAX_UPDATE_BYTES
) -> Update:
    """Returns the next update to send, and counts its items as sent.

    The update always has the state of the own VM and, if the receiver is
    suspected, that suspicion, so that the receiver can refute it. Other items
    follow, those sent least often first. Each item is sent a number of times
    that grows with the logarithm of the fleet's size, so that a fleet without
    changes sends messages of constant size.

    Args:
        view: The view.
        receiver: Name of the receiver, or empty if a suspicion of it need not
            be sent.
        max_bytes: Maximum size of the update.
    """
    update = Update()
    own = MemberUpdate(view.own_name, False, view.incarnation)
    update.member_updates.append(own)
    remaining_bytes = max_bytes - MEMBER_UPDATE_BYTES
    if (
        receiver in view.members
        and view.members[receiver].suspected_s is not None
    ):
        update.member_updates.append(
            MemberUpdate(receiver, True, view.members[receiver].incarnation)
        )
        remaining_bytes -= MEMBER_UPDATE_BYTES
    max_sends = SEND_COUNT_FACTOR * math.ceil(math.log2(len(view.members) + 2))
    order = sorted(
        view.send_counts, key=lambda key: (view.send_counts[key], key)
    )
    for key in order:
        size_bytes = _size_bytes(view, key)
        if size_bytes > remaining_bytes:
            continue
        remaining_bytes -= size_bytes
        _append(view, key, update)
        view.send_counts[key] += 1
        if view.send_counts[key] >= max_sends:
            del view.send_counts[key]
    return update


def _size_bytes(view: View, key: tuple[str, str]) -> int:
    if not key[1]:
        return MEMBER_UPDATE_BYTES
    return view.payloads[key].size_bytes()


def _append(view: View, key: tuple[str, str], update: Update) -> None:
    if key[1]:
        update.payloads.append(view.payloads[key])
    elif key[0] != view.own_name:
        member = view.members[key[0]]
        is_suspected = member.suspected_s is not None
        update.member_updates.append(
            MemberUpdate(key[0], is_suspected, member.incarnation)
        )
