"""Estimates how long batch items run, from past runs."""

import dataclasses

INITIAL_EVENT_GAP_S = 0.022
INITIAL_TOKENS_PER_EVENT = 6.0
MEAN_WEIGHT = 0.1
"""Weight of a new measurement in a decayed mean."""
MIN_MEASURED_EVENTS = 20
"""Runs with fewer events are too short to measure."""


@dataclasses.dataclass(slots=True)
class RunTimeEstimate:
    """Estimates run times from the rate of events in past runs.

    Attributes:
        event_gap_s: Decayed mean time between events, in seconds.
        tokens_per_event: Decayed mean of the expected tokens per event.
    """

    event_gap_s: float = INITIAL_EVENT_GAP_S
    tokens_per_event: float = INITIAL_TOKENS_PER_EVENT

    def remaining_s(self, expected_tokens: int, received_events: int) -> float:
        """Returns the seconds that an item still has to run.

        >>> RunTimeEstimate(0.02, 6.0).remaining_s(1200, 100)
        2.0
        """
        remaining_events = (
            expected_tokens / self.tokens_per_event - received_events
        )
        return max(1.0, remaining_events) * self.event_gap_s

    def record_run(
        self, expected_tokens: int, events: int, run_s: float
    ) -> None:
        """Records a run in which one endpoint produced all events of an item.

        Args:
            expected_tokens: Expected output tokens of the item.
            events: Number of events of the run.
            run_s: Duration of the run in seconds.
        """
        if events < MIN_MEASURED_EVENTS or expected_tokens <= 0:
            return
        self.event_gap_s += MEAN_WEIGHT * (run_s / events - self.event_gap_s)
        tokens_per_event = expected_tokens / events
        self.tokens_per_event += MEAN_WEIGHT * (
            tokens_per_event - self.tokens_per_event
        )
