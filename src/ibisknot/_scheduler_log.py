"""Log lines about the decisions of a scheduler."""

from ibisknot import _service
from ibisknot import logs
from ibisknot import metrics
from ibisknot.contention import room
from ibisknot.gen.fleet import ttypes
from ibisknot.locality import decision
from ibisknot.speeds import table

BURST_S = 1.0
"""Lines say which fraction of a burst of this time may be saved up."""


def answered(
    service: _service.Service,
    request: ttypes.PlaceAsk,
    answer: ttypes.PlaceAnswer,
    *,
    accruing: float,
    view_age_s: float,
) -> None:
    """Logs a request that was queued or refused.

    Args:
        service: Its service.
        request: The request.
        answer: The answer to it.
        accruing: Fraction of the rates' bursts that may be saved up here.
        view_age_s: Age of the scheduler's view of the endpoints, in seconds.
    """
    state = ttypes.PlaceState._VALUES_TO_NAMES[answer.state]
    logs.event(
        "place_" + state.lower(),
        place=request.id,
        kind=request.kind,
        organisation=request.organisation,
        ahead=service.group.online_queue.size,
        slots=round(service.online_slots(), 1),
        hold_s=round(service.hold_time.mean_s, 3),
        retry_after_s=answer.retry_after_s,
        accruing=round(accruing, 2),
        view_age_s=round(view_age_s, 3),
    )


def flows_changed(service: _service.Service, now: float) -> None:
    """Logs data centres that begin or stop sending requests to others.

    Args:
        service: The service.
        now: Monotonic time in seconds.
    """
    for change in decision.take_changes(service.group.locality, now):
        logs.event(
            "data_centre_left" if change.has_begun else "data_centre_preferred",
            service=service.name,
            kind=change.flow.kind,
            data_centre=change.flow.home,
            other=change.flow.other,
        )


def changes(service: _service.Service, now: float) -> None:
    """Logs endpoints that became slow or recovered, and a lack of slots.

    Called with each tick, which bounds the number of lines.
    """
    speeds = service.group.speeds
    if speeds.changed:
        name = speeds.changed.pop()
        is_slow = table.may_be_slow(speeds, name)
        metrics.ENDPOINTS_SLOW.add({"service": service.name}, int(is_slow))
        logs.event(
            "endpoint_slow" if is_slow else "endpoint_speed_regained",
            endpoint=name,
            slowness=round(table.slowness(speeds, now, name), 2),
        )
    is_short = room.is_short(service.group.batch_room, now)
    if is_short != service.was_short:
        service.was_short = is_short
        metrics.BATCH_ROOM_SHORT.add({"service": service.name}, int(is_short))
        logs.event(
            "batch_room_short" if is_short else "batch_room_regained",
            service=service.name,
            waiting=service.group.batch_queue.size,
        )
