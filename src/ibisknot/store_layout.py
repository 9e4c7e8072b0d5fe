"""Where the fleet's state lies in the key-value service."""

from collections.abc import Callable
import dataclasses

from ibisknot import fleet_endpoint
from ibisknot import pairs
from ibisknot import serving


@dataclasses.dataclass(slots=True, frozen=True)
class Layout:
    """Keys and encodings of the fleet's state in the store.

    Attributes:
        operator_prefix: Prefix of all keys that the operator writes.
        configuration_key: Key of the newest configuration.
        endpoints_prefix: Prefix of the endpoints' entries.
        members_prefix: Prefix of the member entries that processes write.
        decode_configuration: Decodes a configuration; raises BadRequestError
            if it is malformed.
        decode_endpoint: Decodes an endpoint's entry; returns None if it is
            malformed.
        evacuations_prefix: Prefix of the operator's orders to evacuate a data
            centre, whose name follows; empty if there are none.
    """

    operator_prefix: str
    configuration_key: str
    endpoints_prefix: str
    members_prefix: str
    decode_configuration: Callable[[bytes], serving.Configuration]
    decode_endpoint: Callable[[pairs.Pair], fleet_endpoint.Endpoint | None]
    evacuations_prefix: str = ""
