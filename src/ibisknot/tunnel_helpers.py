"""Chooses the processes through which endpoints are reached."""

from collections.abc import Iterable
import dataclasses
import random

from ibisknot import deployment
from ibisknot import fleetview

UNFIT_S = 2.0
"""Time for which a helper that could not help is asked last."""


@dataclasses.dataclass(slots=True)
class Helpers:
    """What this process knows of the others as helpers.

    Attributes:
        unfit_until_s: Monotonic time until which a process is asked last, by
            its name.
    """

    unfit_until_s: dict[str, float] = dataclasses.field(default_factory=dict)


def record_unfit(helpers: Helpers, name: str, now: float) -> None:
    """Records that a process could not help."""
    helpers.unfit_until_s[name] = now + UNFIT_S


def record_fit(helpers: Helpers, name: str) -> None:
    """Records that a process could help."""
    helpers.unfit_until_s.pop(name, None)


def in_order(
    helpers: Helpers,
    members: Iterable[fleetview.Member],
    now: float,
    *,
    near: frozenset[str],
    rng: random.Random,
) -> list[fleetview.Member]:
    """Returns the processes in the order in which they are asked.

    Equal ones are shuffled, so that they share the load. Workers come after
    gateways because they also schedule for all.

    Args:
        helpers: What is known of them.
        members: The other processes of the fleet.
        now: Monotonic time in seconds.
        near: Data centres of this process and of the endpoint; a helper there
            adds no traffic between data centres.
        rng: Shuffles equal processes.
    """
    shuffled = list(members)
    rng.shuffle(shuffled)
    return sorted(
        shuffled,
        key=lambda m: (
            now < helpers.unfit_until_s.get(m.name, now),
            m.kind == deployment.WORKER,
            m.data_centre not in near,
        ),
    )
