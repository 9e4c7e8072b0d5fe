"""Membership: which VMs are live, as a hint, from probes and news.

The platform's list says which VMs exist; probes only add suspicion. All
functions are decisions without I/O; `membership_runner` sends the messages.
"""

from collections.abc import Callable
import dataclasses
import math
import random

from ibisknot import vmlist

PROBE_PERIOD_S = 0.5
PROBE_TIMEOUT_S = 0.2
INDIRECT_PROBES = 3
SUSPICION_TIMEOUT_S = 2.0
"""Time that a suspected VM has to refute before it counts as not live."""
MAX_UPDATE_BYTES = 1200
MEMBER_UPDATE_BYTES = 40
PAYLOAD_OVERHEAD_BYTES = 24
SEND_COUNT_FACTOR = 3
"""News is sent this many times the logarithm of the fleet's size."""


@dataclasses.dataclass(slots=True)
class Member:
    """What is known of one VM.

    Attributes:
        vm: Its entry in the platform's list.
        incarnation: Raised only by the VM itself, to refute a suspicion.
        suspected_s: Monotonic time since when it is suspected, or None.
    """

    vm: vmlist.ListedVm
    incarnation: int = 0
    suspected_s: float | None = None


@dataclasses.dataclass(slots=True, frozen=True)
class MemberUpdate:
    """What one VM tells another about a member."""

    vm: str
    is_suspected: bool
    incarnation: int


@dataclasses.dataclass(slots=True, frozen=True)
class Payload:
    """The newest version of a named payload of one VM."""

    vm: str
    name: str
    version: int
    data: bytes

    def size_bytes(self) -> int:
        """Returns its size in a message, in bytes."""
        names = len(self.vm) + len(self.name)
        return names + len(self.data) + PAYLOAD_OVERHEAD_BYTES


@dataclasses.dataclass(slots=True)
class Update:
    """The news that one message carries."""

    member_updates: list[MemberUpdate] = dataclasses.field(default_factory=list)
    payloads: list[Payload] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True)
class View:
    """One VM's view of the fleet; a hint on which no safety may rest.

    Attributes:
        me: This VM's name.
        members: The listed VMs by name.
        incarnation: This VM's own.
        payloads: Newest payload by VM and payload name.
        limits: Largest size of each payload in bytes, by name.
        listeners: Called with each newer payload, by payload name.
        sent: How often each piece of news has been sent.
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
        """Returns the VMs that take work, by name.

        These are the listed ones that are not leaving and whose suspicion, if
        any, has not run out.
        """
        return [
            self.members[name].vm
            for name in sorted(self.members)
            if self.is_active(name)
        ]

    def is_active(self, name: str) -> bool:
        """Returns whether a VM takes work."""
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
        """Declares a payload; larger data is refused."""
        self.max_payload_bytes[name] = limit_bytes
        if listener is not None:
            self.listeners[name] = listener

    def publish(self, name: str, data: bytes) -> None:
        """Spreads a new version of this VM's payload.

        Raises:
            ValueError: The payload is not registered or over its limit.
        """
        if len(data) > self.max_payload_bytes.get(name, -1):
            raise ValueError(f"payload {name} of {len(data)} bytes")
        old = self.payloads.get((self.own_name, name))
        if old is not None and old.data == data:
            return
        # A restarted process must not start below its predecessor's versions,
        # so the incarnation, which begins at the wall clock, is part of them.
        version = max(old.version if old is not None else 0, self.incarnation)
        _store_payload(self, Payload(self.own_name, name, version + 1, data))


def create(own_name: str, *, incarnation: int) -> View:
    """Returns a VM's first view.

    Args:
        own_name: The VM's name.
        incarnation: Above any that an earlier process of the VM had, such as
            the wall-clock time in milliseconds.
    """
    return View(own_name=own_name, incarnation=incarnation)


def apply_vm_list(
    view: View, listed_vms: list[vmlist.ListedVm], now: float
) -> None:
    """Takes over the platform's list, the last word on who is gone."""
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
    """Returns the VMs to probe, also suspected ones, which may be back."""
    return sorted(
        name
        for name, member in view.members.items()
        if name != view.own_name and member.vm.state == vmlist.ACTIVE
    )


def choose_probe_target(view: View, rng: random.Random) -> str | None:
    """Returns the VM to probe in this period."""
    names = probe_candidates(view)
    return rng.choice(names) if names else None


def choose_helpers(view: View, target: str, rng: random.Random) -> list[str]:
    """Returns the VMs to send indirect probes through."""
    names = [
        n for n in probe_candidates(view) if n != target and view.is_active(n)
    ]
    return rng.sample(names, min(INDIRECT_PROBES, len(names)))


def record_ack(view: View, name: str, now: float) -> None:
    """Notes that a VM answered."""
    view.now_s = now
    member = view.members.get(name)
    if member is not None and member.suspected_s is not None:
        member.suspected_s = None
        view.send_counts[(name, "")] = 0


def record_probe_failure(view: View, name: str, now: float) -> None:
    """Suspects a VM that answered neither directly nor through helpers."""
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
    # Of two statements about one incarnation the suspicion wins: only the VM
    # itself can refute it, with a higher incarnation.
    if not is_newer and (is_suspected or not update.is_suspected):
        return
    member.incarnation = update.incarnation
    member.suspected_s = now if update.is_suspected else None
    view.send_counts[(update.vm, "")] = 0


def _apply_payload(view: View, payload: Payload) -> None:
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
    key = (payload.vm, payload.name)
    view.payloads[key] = payload
    view.send_counts[key] = 0


def compose_update(
    view: View, *, receiver: str = "", max_bytes: int = MAX_UPDATE_BYTES
) -> Update:
    """Returns the news to send: least-sent first, within the budget.

    A suspected receiver is always told, so that it can refute. Each piece is
    sent a number of times that grows with the logarithm of the fleet's size,
    so that the bytes of a quiet fleet do not grow with it.
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
