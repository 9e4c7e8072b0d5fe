"""What the product reads from a caller's request, whatever its protocol."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class CallerMetadata:
    """What a request says of itself.

    Attributes:
        id: Id of this attempt; empty when it has none.
        deadline_s: Seconds that the caller will wait, or None.
        key: The caller's key, or None.
        prompt_tokens: Tokens of the prompt.
        output_tokens: Tokens that are made at most.
        expected_tokens: The caller's estimate of the tokens made, or None.
        blocks: Hashes of the prompt's leading parts, in order.
        last_event: The last event that the caller has, or None.
    """

    id: str = ""
    timeout_s: float | None = None
    api_key: str | None = None
    prompt_tokens: int = 0
    output_tokens: int = 0
    expected_tokens: int | None = None
    blocks: tuple[int, ...] = ()
    last_event_id: int | None = None


@dataclasses.dataclass(slots=True, frozen=True)
class EndpointMetadata:
    """What a relay sets on a request to an endpoint.

    Attributes:
        endpoint: Name of the endpoint that is meant.
        organisation: Whose request it is; empty when it is nobody's.
        deadline_s: Seconds that are left, or None.
        last_event: The last event that is already there, or None.
    """

    endpoint: str
    organisation: str
    remaining_s: float | None
    last_event_id: int | None = None
