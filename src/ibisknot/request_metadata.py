"""Metadata of requests, independent of the protocol that encodes it."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class CallerMetadata:
    """Metadata that a caller sends with a request.

    Attributes:
        id: Id of the request; empty if it has none.
        timeout_s: Seconds that the caller waits for the response, or None.
        api_key: The caller's API key, or None.
        prompt_tokens: Number of tokens in the prompt.
        output_tokens: Maximum number of tokens to generate.
        expected_tokens: The caller's estimate of the tokens to be generated,
            or None.
        prompt_blocks: Hashes of the prompt's leading parts, in order; each
            covers the parts before it.
        prompt_parts: Hashes of single parts of the prompt, without the last
            one, which belongs to the request or its session alone.
        last_event_id: Id of the last event that the caller has received, or
            None.
        resumed_id: Id of the caller's earlier request that brought the first
            event of the stream; empty if it names none.
    """

    id: str = ""
    timeout_s: float | None = None
    api_key: str | None = None
    prompt_tokens: int = 0
    output_tokens: int = 0
    expected_tokens: int | None = None
    prompt_blocks: tuple[int, ...] = ()
    prompt_parts: tuple[int, ...] = ()
    last_event_id: int | None = None
    resumed_id: str = ""


@dataclasses.dataclass(slots=True, frozen=True)
class EndpointMetadata:
    """Metadata that is set on a request to an endpoint.

    Attributes:
        endpoint: Name of the endpoint that the request is meant for.
        organisation: Name of the organisation; empty if there is none.
        remaining_s: Seconds left until the request's deadline, or None.
        last_event_id: Id of the last event already received from an endpoint,
            or None.
    """

    endpoint: str
    organisation: str
    remaining_s: float | None
    last_event_id: int | None = None
