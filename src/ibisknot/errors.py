"""Errors with stable codes, shared by all programs."""

# Values of `IbisknotError.ran`: whether an endpoint has run the request.
NOT_RUN = "not_run"
RAN = "ran"
UNKNOWN = "unknown"


class IbisknotError(Exception):
    """Base class of all errors that cross a module boundary.

    Attributes:
        code: Stable identifier for callers and scripts.
        status: HTTP status of the response.
        ran: Whether the request ran: `not_run`, `ran` or `unknown`.
        message: Text for the caller.
        retry_after_s: Seconds after which a retry may succeed, if known.
    """

    code = "internal_error"
    status = 500
    ran = UNKNOWN

    def __init__(
        self,
        message: str,
        *,
        ran: str | None = None,
        retry_after_s: float | None = None,
    ) -> None:
        super().__init__(message)
        self.message = message
        self.retry_after_s = retry_after_s
        if ran is not None:
            self.ran = ran

    def __repr__(self) -> str:
        """Returns the class, code, message and run state."""
        name = type(self).__name__
        return f"{name}(code={self.code!r}, {self.message!r}, ran={self.ran})"


class SettingsError(IbisknotError):
    """A settings file is invalid."""

    code = "invalid_settings"
    ran = NOT_RUN


class BadRequestError(IbisknotError):
    """The request is malformed."""

    code = "bad_request"
    status = 400
    ran = NOT_RUN


class AuthenticationError(IbisknotError):
    """The key is missing, unknown or withdrawn."""

    code = "invalid_key"
    status = 401
    ran = NOT_RUN


class KeyWithdrawnError(IbisknotError):
    """The key was withdrawn while its request was running."""

    code = "key_withdrawn"
    status = 401
    ran = RAN


class ForbiddenError(IbisknotError):
    """The caller may not use the object."""

    code = "forbidden"
    status = 403
    ran = NOT_RUN


class NotFoundError(IbisknotError):
    """The object does not exist."""

    code = "not_found"
    status = 404
    ran = NOT_RUN


class ModelNotFoundError(NotFoundError):
    """No configured model has this name."""

    code = "model_not_found"


class MethodNotAllowedError(IbisknotError):
    """The path exists but not with this method."""

    code = "method_not_allowed"
    status = 405
    ran = NOT_RUN


class RequestTimeoutError(IbisknotError):
    """The caller sent its request too slowly."""

    code = "request_timeout"
    status = 408
    ran = NOT_RUN


class DeadlineError(IbisknotError):
    """The response was not complete at the request's deadline."""

    code = "deadline_exceeded"
    status = 504


class CallerGoneError(IbisknotError):
    """The caller closed its connection before the response was complete."""

    code = "caller_gone"
    status = 499


class ConflictError(IbisknotError):
    """The object changed since the caller read it."""

    code = "conflict"
    status = 409
    ran = NOT_RUN


class OutcomeUnknownError(IbisknotError):
    """A request that must not be repeated was sent; its outcome is unknown."""

    code = "outcome_unknown"
    status = 409
    ran = UNKNOWN


class AnswerNotKeptError(IbisknotError):
    """A request with this idempotency key ran; its response is not retained."""

    code = "answer_not_kept"
    status = 409
    ran = RAN


class BodyTooLargeError(IbisknotError):
    """The request body is over the limit."""

    code = "body_too_large"
    status = 413
    ran = NOT_RUN


class HeadersTooLargeError(IbisknotError):
    """The request's headers are over the limit."""

    code = "headers_too_large"
    status = 431
    ran = NOT_RUN


class RateLimitError(IbisknotError):
    """The organisation has exceeded its rate and burst."""

    code = "rate_limited"
    status = 429
    ran = NOT_RUN


class OverloadedError(IbisknotError):
    """No endpoint can run the request in time."""

    code = "overloaded"
    status = 503
    ran = NOT_RUN


class UnavailableError(IbisknotError):
    """A component that the request needs is not reachable."""

    code = "unavailable"
    status = 503
    ran = NOT_RUN


class SoftwareGoneError(UnavailableError):
    """No endpoint has the software that began a stream."""

    code = "software_gone"


class MovedError(UnavailableError):
    """Another VM is the admitter of this admission group now."""

    code = "moved"


class CrashRequestError(IbisknotError):
    """The request has crashed the endpoints that ran it."""

    code = "crash_request"
    status = 422
    ran = RAN


class StaleConfigurationError(UnavailableError):
    """This VM cannot confirm that its configuration is current."""

    code = "stale_configuration"


class EndpointError(IbisknotError):
    """The endpoint failed while it processed the request."""

    code = "endpoint_failed"
    status = 502


class EndpointRefusedError(EndpointError):
    """The endpoint reported that it did not run the request."""

    code = "endpoint_refused"
    ran = NOT_RUN


class UnsendableError(EndpointError):
    """HTTP cannot express the request, whichever endpoint it is for."""

    code = "unsendable"
    status = 400
    ran = NOT_RUN


class ItemFailedError(EndpointError):
    """An endpoint reported that a batch item failed."""

    code = "item_failed"
    ran = RAN


class TruncatedStreamError(EndpointError):
    """The endpoint's stream ended before the response was complete."""

    code = "truncated_stream"
    ran = RAN


class OtherSoftwareError(EndpointError):
    """An endpoint of other software continues what another one began."""

    code = "other_software"
    ran = RAN


class StalledError(EndpointError):
    """The endpoint sent nothing useful for too long."""

    code = "endpoint_stalled"


class PathLostError(EndpointError):
    """The path to an endpoint was lost; the endpoint itself may be sound."""

    code = "endpoint_path_lost"
    status = 503


class TunnelError(IbisknotError):
    """No other process connects this one to an endpoint."""

    code = "no_tunnel"
    status = 503
    ran = NOT_RUN


class KeyValueError(IbisknotError):
    """The key-value service refused or did not receive the call."""

    code = "key_value_unavailable"
    status = 503
    ran = NOT_RUN


class KeyValueUnknownError(KeyValueError):
    """The response to a key-value write was lost; it may have taken effect."""

    code = "key_value_unknown"
    ran = UNKNOWN


class KeyValueRefusedError(KeyValueError):
    """The key-value service can never take the write, which changed nothing."""

    code = "key_value_refused"
    status = 413


class HistoryGoneError(KeyValueError):
    """The key-value service no longer has the requested history."""

    code = "history_gone"


class LeaseEndedError(KeyValueError):
    """A write names a lease that has ended."""

    code = "lease_ended"


class PeerError(IbisknotError):
    """A peer is not reachable or did not answer in time."""

    code = "peer_unavailable"
    status = 503


class FencedError(IbisknotError):
    """A call carries an epoch that a newer one has superseded."""

    code = "fenced"
    status = 409
    ran = NOT_RUN


class SegmentError(IbisknotError):
    """A segment is missing, damaged or differs from its stored copy."""

    code = "segment_error"


class SegmentMissingError(SegmentError):
    """A store has no copy of a segment, or a damaged one."""

    code = "segment_missing"


class DiskFullError(IbisknotError):
    """The disk has no space for the write."""

    code = "disk_full"
    status = 507
    ran = NOT_RUN


def classes_by_code(
    base: type[IbisknotError] = IbisknotError,
) -> dict[str, type[IbisknotError]]:
    """Returns every error class by its code.

    >>> classes_by_code()["fenced"].__name__
    'FencedError'
    """
    classes = {base.code: base}
    for child in base.__subclasses__():
        classes.update(classes_by_code(child))
    return classes


def from_code(code: str, message: str) -> IbisknotError:
    """Rebuilds an error that a peer sent as code and message."""
    return classes_by_code().get(code, IbisknotError)(message)
