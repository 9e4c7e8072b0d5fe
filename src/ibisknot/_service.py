"""A scheduler's state of one service."""

from collections.abc import Iterable
import dataclasses
import math

from ibisknot import admission
from ibisknot import overload
from ibisknot import request_limits
from ibisknot import serving
from ibisknot.contention import memory
from ibisknot.gen.fleet import ttypes
from ibisknot.speeds import table


@dataclasses.dataclass(slots=True, frozen=True)
class Requester:
    """Who has asked for a ticket, and for which stream.

    Attributes:
        holder: Peer address of the process.
        stream_id: Id of the stream; empty if it cannot be resumed.
        number: Orders the grants of the stream.
    """

    holder: str
    stream_id: str = ""
    number: int = 0


@dataclasses.dataclass(slots=True)
class Service:
    """Endpoints, tickets and queued requests of one service.

    Attributes:
        requesters: Requester of each queued request, by its id.
        granted_s: Monotonic time of each grant or adoption, by ticket id.
        last_request_s: Monotonic time of the last request received here.
        was_short: Whether batch items lacked slots at the last tick.
    """

    name: str
    group: admission.Group = dataclasses.field(default_factory=admission.Group)
    hold_time: overload.HoldTime = dataclasses.field(
        default_factory=overload.HoldTime
    )
    requesters: dict[str, Requester] = dataclasses.field(default_factory=dict)
    granted_s: dict[str, float] = dataclasses.field(default_factory=dict)
    last_request_s: float = -math.inf
    was_short: bool = False

    def software_versions(self) -> dict[str, str]:
        """Returns the version of each active endpoint's software."""
        return {
            name: endpoint.software_version
            for name, endpoint in self.group.endpoints.items()
        }

    def has_software(self, version: str | None) -> bool:
        """Returns whether an endpoint has a version; any has None."""
        return version is None or any(
            endpoint.software_version == version
            for endpoint in self.group.endpoints.values()
        )

    def software_version(self, name: str) -> str:
        """Returns the version of an endpoint's software."""
        endpoint = admission.find_endpoint(self.group, name)
        return "" if endpoint is None else endpoint.software_version

    def online_slots(self) -> float:
        """Returns the slots that online requests can use.

        An endpoint that names a limit fills only the slots for which it takes
        requests.
        """
        hold_s = self.hold_time.mean_s
        return sum(
            _usable_slots(e, hold_s) for e in self.group.endpoints.values()
        )

    def has_online_slot(self, now: float, tokens: int = 0) -> bool:
        """Returns whether a slot is free or held by batch that can be revoked.

        Slots of endpoints that take no request now, or whose memory cannot
        hold the request, are not counted.

        Args:
            now: Monotonic time in seconds.
            tokens: Tokens of the request.
        """
        memory_tokens = self.group.memory_tokens
        return any(
            e.unrevoked_count() < int(e.capacity.limit)
            or e.unrevoked_batch_count()
            for e in self.group.endpoints.values()
            if request_limits.allows(e.bucket, now)
            and memory.fits_beside_online(e, tokens, memory_tokens)
        )

    def is_late(self, request: ttypes.PlaceAsk, now: float) -> bool:
        """Returns whether an online request would miss its objective."""
        if request.kind != admission.ONLINE:
            return False
        if self.has_online_slot(now, request.tokens):
            return False
        return overload.would_miss_objective(
            self.hold_time,
            queued=self.group.online_queue.on_time_count(),
            slots=self.online_slots(),
            remaining_objective_s=request.objective_s,
        )

    def set_starts(self, started_ms: dict[str, int]) -> None:
        """Sets the starts of the endpoints, in Unix milliseconds, by name."""
        table.set_starts(self.group.speeds, started_ms)

    def apply_configuration(
        self, configuration: serving.Configuration | None
    ) -> None:
        """Applies what the operator states about the service's endpoints."""
        if configuration is not None:
            self.group.memory_tokens = configuration.memory_tokens.get(
                self.name, memory.UNSTATED
            )


def not_queued(
    services: Iterable[Service], ticket_ids: list[str] | None
) -> list[str] | None:
    """Returns those ids of batch requests that no service has queued.

    Their holders send them again: they were granted, or are not known.

    Args:
        services: The services.
        ticket_ids: The ids; None, which is returned, if there was no question.
    """
    if not ticket_ids:
        return ticket_ids
    queued: set[str] = set()
    for service in services:
        queued |= admission.queued_batch_ids(service.group)
    return [i for i in ticket_ids if i not in queued]


def _usable_slots(endpoint: admission.Endpoint, hold_s: float) -> float:
    """Returns the slots of an endpoint that online requests can fill."""
    slots = float(int(endpoint.capacity.limit))
    if endpoint.bucket is None:
        return slots
    return min(slots, endpoint.bucket.rate_per_s * hold_s)
