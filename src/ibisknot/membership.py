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
SUSPICION_S = 2.0
"""Time that a suspected VM has to refute before it counts as not live."""
NEWS_BYTES = 1200
MEMBER_UPDATE_BYTES = 40
PAYLOAD_OVERHEAD_BYTES = 24
SPREAD_FACTOR = 3
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
class Update:
    """What one VM tells another about a member."""

    vm: str
    suspect: bool
    incarnation: int


@dataclasses.dataclass(slots=True, frozen=True)
class Payload:
    """The newest version of a named payload of one VM."""

    vm: str
    name: str
    version: int
    data: bytes

    def size(self) -> int:
        """Returns its size in a message, in bytes."""
        names = len(self.vm) + len(self.name)
        return names + len(self.data) + PAYLOAD_OVERHEAD_BYTES


@dataclasses.dataclass(slots=True)
class News:
    """The news that one message carries."""

    updates: list[Update] = dataclasses.field(default_factory=list)
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

    me: str
    members: dict[str, Member] = dataclasses.field(default_factory=dict)
    incarnation: int = 0
    payloads: dict[tuple[str, str], Payload] = dataclasses.field(
        default_factory=dict
    )
    limits: dict[str, int] = dataclasses.field(default_factory=dict)
    listeners: dict[str, Callable[[Payload], None]] = dataclasses.field(
        default_factory=dict
    )
    sent: dict[tuple[str, str], int] = dataclasses.field(default_factory=dict)
    now_s: float = 0.0

    def live(self) -> list[vmlist.ListedVm]:
        """Returns the VMs that take work, by name.

        These are the listed ones that are not leaving and whose suspicion, if
        any, has not run out.
        """
        return [
            self.members[name].vm
            for name in sorted(self.members)
            if self.is_live(name)
        ]

    def is_live(self, name: str) -> bool:
        """Returns whether a VM takes work."""
        member = self.members.get(name)
        if member is None or member.vm.state != vmlist.LIVE:
            return False
        if name == self.me or member.suspected_s is None:
            return True
        return self.now_s - member.suspected_s < SUSPICION_S

    def register(
        self,
        name: str,
        *,
        limit_bytes: int,
        listener: Callable[[Payload], None] | None = None,
    ) -> None:
        """Declares a payload; larger data is refused."""
        self.limits[name] = limit_bytes
        if listener is not None:
            self.listeners[name] = listener

    def publish(self, name: str, data: bytes) -> None:
        """Spreads a new version of this VM's payload.

        Raises:
            ValueError: The payload is not registered or over its limit.
        """
        if len(data) > self.limits.get(name, -1):
            raise ValueError(f"payload {name} of {len(data)} bytes")
        old = self.payloads.get((self.me, name))
        if old is not None and old.data == data:
            return
        # A restarted process must not start below its predecessor's versions,
        # so the incarnation, which begins at the wall clock, is part of them.
        version = max(old.version if old is not None else 0, self.incarnation)
        _keep(self, Payload(self.me, name, version + 1, data))


def create(me: str, *, incarnation: int) -> View:
    """Returns a VM's first view.

    Args:
        me: The VM's name.
        incarnation: Above any that an earlier process of the VM had, such as
            the wall-clock time in milliseconds.
    """
    return View(me=me, incarnation=incarnation)


def seed(view: View, listed: list[vmlist.ListedVm], now: float) -> None:
    """Takes over the platform's list, the last word on who is gone."""
    view.now_s = now
    names = {vm.name for vm in listed}
    for vm in listed:
        member = view.members.get(vm.name)
        if member is None:
            view.members[vm.name] = Member(vm)
        else:
            member.vm = vm
    for name in view.members.keys() - names:
        del view.members[name]
    for key in [k for k in view.payloads if k[0] not in names]:
        del view.payloads[key]
    for key in [k for k in view.sent if k[0] not in names]:
        del view.sent[key]


def targets(view: View) -> list[str]:
    """Returns the VMs to probe, also suspected ones, which may be back."""
    return sorted(
        name
        for name, member in view.members.items()
        if name != view.me and member.vm.state == vmlist.LIVE
    )


def choose_target(view: View, choice: random.Random) -> str | None:
    """Returns the VM to probe in this period."""
    names = targets(view)
    return choice.choice(names) if names else None


def choose_helpers(view: View, target: str, choice: random.Random) -> list[str]:
    """Returns the VMs to send indirect probes through."""
    names = [n for n in targets(view) if n != target and view.is_live(n)]
    return choice.sample(names, min(INDIRECT_PROBES, len(names)))


def on_ack(view: View, name: str, now: float) -> None:
    """Notes that a VM answered."""
    view.now_s = now
    member = view.members.get(name)
    if member is not None and member.suspected_s is not None:
        member.suspected_s = None
        view.sent[(name, "")] = 0


def on_probe_failed(view: View, name: str, now: float) -> None:
    """Suspects a VM that answered neither directly nor through helpers."""
    view.now_s = now
    member = view.members.get(name)
    if member is not None and member.suspected_s is None:
        member.suspected_s = now
        view.sent[(name, "")] = 0


def on_news(view: View, news: News, now: float) -> None:
    """Takes over what a peer told."""
    view.now_s = now
    for update in news.updates:
        _on_update(view, update, now)
    for payload in news.payloads:
        if payload.vm != view.me and payload.vm in view.members:
            _on_payload(view, payload)


def _on_update(view: View, update: Update, now: float) -> None:
    if update.vm == view.me:
        if update.suspect and update.incarnation >= view.incarnation:
            view.incarnation = update.incarnation + 1
            view.sent[(view.me, "")] = 0
        return
    member = view.members.get(update.vm)
    if member is None or update.incarnation < member.incarnation:
        return
    newer = update.incarnation > member.incarnation
    suspected = member.suspected_s is not None
    # Of two statements about one incarnation the suspicion wins: only the VM
    # itself can refute it, with a higher incarnation.
    if not newer and (suspected or not update.suspect):
        return
    member.incarnation = update.incarnation
    member.suspected_s = now if update.suspect else None
    view.sent[(update.vm, "")] = 0


def _on_payload(view: View, payload: Payload) -> None:
    if len(payload.data) > view.limits.get(payload.name, -1):
        return
    old = view.payloads.get((payload.vm, payload.name))
    if old is not None and old.version >= payload.version:
        return
    _keep(view, payload)
    listener = view.listeners.get(payload.name)
    if listener is not None:
        listener(payload)


def _keep(view: View, payload: Payload) -> None:
    key = (payload.vm, payload.name)
    view.payloads[key] = payload
    view.sent[key] = 0


def compose(
    view: View, *, to: str = "", budget_bytes: int = NEWS_BYTES
) -> News:
    """Returns the news to send: least-sent first, within the budget.

    A suspected receiver is always told, so that it can refute. Each piece is
    sent a number of times that grows with the logarithm of the fleet's size,
    so that the bytes of a quiet fleet do not grow with it.
    """
    news = News()
    own = Update(view.me, False, view.incarnation)
    news.updates.append(own)
    left = budget_bytes - MEMBER_UPDATE_BYTES
    if to in view.members and view.members[to].suspected_s is not None:
        news.updates.append(Update(to, True, view.members[to].incarnation))
        left -= MEMBER_UPDATE_BYTES
    limit = SPREAD_FACTOR * math.ceil(math.log2(len(view.members) + 2))
    order = sorted(view.sent, key=lambda key: (view.sent[key], key))
    for key in order:
        size = _size(view, key)
        if size > left:
            continue
        left -= size
        _append(view, key, news)
        view.sent[key] += 1
        if view.sent[key] >= limit:
            del view.sent[key]
    return news


def _size(view: View, key: tuple[str, str]) -> int:
    if not key[1]:
        return MEMBER_UPDATE_BYTES
    return view.payloads[key].size()


def _append(view: View, key: tuple[str, str], news: News) -> None:
    if key[1]:
        news.payloads.append(view.payloads[key])
    elif key[0] != view.me:
        member = view.members[key[0]]
        suspect = member.suspected_s is not None
        news.updates.append(Update(key[0], suspect, member.incarnation))
