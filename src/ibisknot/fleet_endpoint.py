"""The endpoints that a fleet may send to."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class Endpoint:
    """A model engine as its entry describes it.

    Attributes:
        slots: Requests that it runs at once.
        leaving: Whether it gets no new work.
        born_ms: Unix milliseconds of its start.
    """

    name: str
    service: str
    address: str
    data_centre: str
    slots: int
    is_draining: bool
    started_ms: int = 0
