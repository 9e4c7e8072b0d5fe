"""Outcomes of failed attempts, as schedulers are told of them."""

from ibisknot import admission
from ibisknot import errors


def of_error(error: errors.EndpointError) -> str:
    """Returns the outcome, for the ticket, of an attempt that failed.

    An endpoint that refused the request has not failed, nor has one to which
    the path was lost or the request cannot be sent at all.

    >>> of_error(errors.EndpointError("x", ran=errors.NOT_RUN))
    'unreachable'
    """
    if isinstance(
        error,
        errors.EndpointRefusedError
        | errors.PathLostError
        | errors.UnsendableError,
    ):
        return admission.CANCELLED
    if error.ran == errors.NOT_RUN:
        return admission.UNREACHABLE
    return admission.FAILED
