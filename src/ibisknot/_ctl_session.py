"""Connection of `ibisknotctl` to the operators' interface."""

from typing import Any

import httpx
import msgspec

TIMEOUT_S = 90.0
"""Seconds until a call must have completed; confirm may wait for all VMs."""
EXIT_REFUSED = 1
EXIT_USAGE = 2
EXIT_CONFLICT = 3
EXIT_UNREACHABLE = 4
EXIT_OUTCOME_UNKNOWN = 5
EXIT_NOT_IN_FORCE = 6

ADVICE_BY_CODE = {
    "invalid_key": "check --key or IBISKNOT_OPERATOR_KEY",
    "conflict": "look at the difference, then plan again",
    "key_value_unavailable": (
        "the key-value service does not answer; nothing was changed,"
        " try again when it is back"
    ),
    "key_value_unknown": "run `ibisknotctl operation ID`, or confirm again",
    "unavailable": "try again in a moment",
}
"""Advice to the operator, by error code."""


class CommandError(Exception):
    """A command failed.

    Attributes:
        exit_status: The exit status.
        response: The decoded error response; None if there was none.
    """

    def __init__(
        self, message: str, exit_status: int, response: Any = None
    ) -> None:
        super().__init__(message)
        self.exit_status = exit_status
        self.response = response


def exit_status_for(code: str, http_status: int) -> int:
    """Returns the exit status for an error response.

    >>> exit_status_for("conflict", 409), exit_status_for("bad_request", 400)
    (3, 1)
    """
    if code == "key_value_unknown":
        return EXIT_OUTCOME_UNKNOWN
    if http_status == 409:
        return EXIT_CONFLICT
    if http_status == 503:
        return EXIT_UNREACHABLE
    return EXIT_REFUSED


def make_refusal_error(http_status: int, response: Any) -> CommandError:
    """Returns the error for a refused call, with advice."""
    error = response["error"]
    code = error["code"]
    message = f"{code}: {error['message']}"
    if code in ADVICE_BY_CODE:
        message += f" ({ADVICE_BY_CODE[code]})"
    return CommandError(message, exit_status_for(code, http_status), response)


class Session:
    """A connection to the operators' interface."""

    def __init__(self, url: str, key: str, authority: str = "") -> None:
        self.client = httpx.Client(
            base_url=url,
            headers={"authorization": f"Bearer {key}"},
            timeout=TIMEOUT_S,
            trust_env=False,
            verify=authority or True,
        )

    def call(self, method: str, path: str, body: Any = None) -> Any:
        """Calls the interface and returns the decoded response.

        Raises:
            CommandError: The call failed or was refused.
        """
        content = None if body is None else msgspec.json.encode(body)
        try:
            response = self.client.request(method, path, content=content)
        except httpx.HTTPError as error:
            message = (
                f"{self.client.base_url}: not reachable: {error}"
                " (try the URL of another VM)"
            )
            raise CommandError(message, EXIT_UNREACHABLE) from None
        try:
            decoded = msgspec.json.decode(response.content)
        except msgspec.DecodeError:
            message = f"{self.client.base_url} is not an operators' interface"
            raise CommandError(message, EXIT_USAGE) from None
        if response.is_success:
            return decoded
        raise make_refusal_error(response.status_code, decoded)
