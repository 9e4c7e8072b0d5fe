"""An endpoint that the processes of a fleet may send requests to."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class Endpoint:
    """A model engine as described by its entry in the key-value service.

    Attributes:
        name: Unique name of the entry.
        service: Name of the service that it belongs to.
        address: Host and port.
        slots: Count of the requests that it runs at the same time.
        is_draining: Whether it gets no new requests.
        started_ms: Start time in Unix milliseconds, 0 if unknown.
    """

    name: str
    service: str
    address: str
    data_centre: str
    slots: int
    is_draining: bool
    started_ms: int = 0
