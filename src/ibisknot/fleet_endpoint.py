"""An endpoint that the processes of a fleet may send requests to."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class Endpoint:
    """A model engine as described by its entry in the key-value service.

    The class's repr, which holds the class name and the field names, is part
    of a digest that processes send each other: `fleetview.endpoints_digest`.
    The names and the order of the fields in it therefore stay as they are.

    Attributes:
        name: Unique name of the entry.
        service: Name of the service that it belongs to.
        address: Host and port.
        slots: Count of the requests that it runs at the same time.
        leaving: Whether it is shutting down and gets no new requests.
        born_ms: Start time in Unix milliseconds, 0 if unknown.
        software_version: Version of the engine's software, empty if unknown.
            It is not part of the digest, because it changes only with
            `born_ms`.
        cold_s: Seconds for which it stays cold, from the read of its entry;
            None if the entry does not say so readably.
        revision: The store's revision of its entry.
    """

    name: str
    service: str
    address: str
    data_centre: str
    slots: int
    leaving: bool
    born_ms: int = 0
    software_version: str = dataclasses.field(default="", repr=False)
    cold_s: float | None = dataclasses.field(
        default=0.0, repr=False, compare=False
    )
    revision: int = dataclasses.field(default=0, repr=False, compare=False)
