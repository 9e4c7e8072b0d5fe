"""What the bench's scenarios have in common."""

from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
from typing import Any

from ibisknot import topology as topology_module


@dataclasses.dataclass(slots=True)
class Run:
    """The options of one run.

    Attributes:
        topology: The deployment to start.
        seconds: How long load is applied.
        seed: Seed of the load's random choices.
        policy: `fleet`, or `naive` for the baseline.
    """

    topology: topology_module.Topology
    seconds: float = 20.0
    seed: int = 0
    policy: str = "fleet"


@dataclasses.dataclass(slots=True)
class Result:
    """What a run found.

    Attributes:
        violations: Checks of correctness that failed, in words.
        lost: Accepted requests and items without an answer.
        duplicated: Requests and items answered or run more than once.
        in_rate: Requests that were inside their organisation's rate.
        in_rate_refused: Those of them that were refused.
        fields: The scenario's own fields.
    """

    violations: list[str] = dataclasses.field(default_factory=list)
    lost: int = 0
    duplicated: int = 0
    in_rate: int = 0
    in_rate_refused: int = 0
    fields: dict[str, Any] = dataclasses.field(default_factory=dict)

    def expect(self, holds: bool, violation: str) -> None:
        """Records a violation unless a condition holds."""
        if not holds:
            self.violations.append(violation)

    def report(self, name: str, run: Run) -> dict[str, Any]:
        """Returns the run as the bench contract has it."""
        fraction = self.in_rate_refused / max(1, self.in_rate)
        ok = not self.violations and not self.lost and not self.duplicated
        return {
            "scenario": name,
            "topology": run.topology.name,
            "policy": run.policy,
            "seed": run.seed,
            "seconds": run.seconds,
            "ok": ok,
            "violations": self.violations,
            "lost": self.lost,
            "duplicated": self.duplicated,
            "refused_in_rate_fraction": fraction,
            **self.fields,
        }


SHARED_FIELDS = ("scenario", "topology", "policy", "seed", "seconds")
BASELINE_PREFIX = "baseline_"


def compared(
    report: dict[str, Any], baseline: dict[str, Any]
) -> dict[str, Any]:
    """Returns a report with its baseline's fields added.

    The baseline is there for comparison; what it violates does not count.

    >>> compared({"ok": True, "p99": 2}, {"ok": False, "p99": 5})
    {'ok': True, 'p99': 2, 'baseline_ok': False, 'baseline_p99': 5}
    """
    added = {
        BASELINE_PREFIX + name: value
        for name, value in baseline.items()
        if name not in SHARED_FIELDS
    }
    return {**report, **added}


Scenario = Callable[[Run], Awaitable[Result]]
