"""Exhaustive model checker for small systems that call production decisions.

A system is an initial state, the steps that are possible in a state, and an
invariant. Message loss, delays, pauses and lost responses are steps like any
other, so every interleaving of them within the system's bounds is visited.
"""

from collections.abc import Callable
from collections.abc import Iterable
import dataclasses
from typing import Any
from typing import TypeVar

from ibisknot import errors

MAX_STATES = 2_000_000

State = TypeVar("State")
Step = tuple[str, Any]


class ViolationError(errors.IbisknotError):
    """A reachable state violates the invariant.

    Attributes:
        trace: Names of the steps from the initial state to the violation.
    """

    code = "invariant_violated"

    def __init__(self, message: str, trace: list[str]) -> None:
        super().__init__(f"{message}; steps: {', '.join(trace) or 'none'}")
        self.trace = trace


@dataclasses.dataclass(slots=True)
class Exploration:
    """Size of the state space that an exploration visited.

    Attributes:
        states: Count of distinct states.
        steps: Count of steps taken, including those to states already visited.
        final_states: Count of states in which no step is possible.
    """

    states: int
    steps: int
    final_states: int


def explore(
    initial_state: Any,
    steps: Callable[[Any], Iterable[Step]],
    find_violation: Callable[[Any], str],
    *,
    max_states: int = MAX_STATES,
) -> Exploration:
    """Visits every reachable state and checks the invariant in each.

    Args:
        initial_state: The first state; states are hashable values.
        steps: Returns the name and the resulting state of each step that is
            possible in a state.
        find_violation: Returns how a state violates the invariant, or an
            empty text.
        max_states: The largest number of distinct states to visit.

    Raises:
        ViolationError: A state violates the invariant.
        UnavailableError: There are more than `max_states` states.

    >>> explore(0, lambda n: [("up", n + 1)] if n < 3 else [], lambda n: "")
    Exploration(states=4, steps=3, final_states=1)
    """
    predecessors: dict[Any, tuple[Any, str] | None] = {initial_state: None}
    unexplored = [initial_state]
    step_count = final_count = 0
    while unexplored:
        state = unexplored.pop()
        violation = find_violation(state)
        if violation:
            raise ViolationError(violation, _trace_steps(predecessors, state))
        state_steps = 0
        for name, next_state in steps(state):
            state_steps += 1
            if next_state in predecessors:
                continue
            predecessors[next_state] = (state, name)
            unexplored.append(next_state)
            if len(predecessors) > max_states:
                message = f"more than {max_states} states"
                raise errors.UnavailableError(message)
        step_count += state_steps
        final_count += state_steps == 0
    return Exploration(len(predecessors), step_count, final_count)


def _trace_steps(
    predecessors: dict[Any, tuple[Any, str] | None], state: Any
) -> list[str]:
    step_names = []
    predecessor = predecessors[state]
    while predecessor is not None:
        state, name = predecessor
        step_names.append(name)
        predecessor = predecessors[state]
    return step_names[::-1]
