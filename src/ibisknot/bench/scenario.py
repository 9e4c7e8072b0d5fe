"""Options, results and saved runs of the bench's scenarios."""

from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import pathlib
from typing import Any

import msgspec

from ibisknot.bench import topology as topology_module


class Point(msgspec.Struct, array_like=True):
    """A point of a latency distribution.

    Attributes:
        fraction: Fraction of the requests with at most this latency.
        latency_ms: Latency, in milliseconds.
    """

    fraction: float
    latency_ms: float


class SavedRun(msgspec.Struct):
    """A run as `--save` writes it.

    Attributes:
        report: The run's report; see `Result.report`.
        curves: Latency distributions by name.
    """

    report: dict[str, Any]
    curves: dict[str, list[Point]] = {}

    def file_name(self) -> str:
        """Returns the name of its file; a repeated run has the same name."""
        identifying_fields = ("scenario", "topology", "policy", "seed")
        return (
            "-".join(str(self.report[name]) for name in identifying_fields)
            + ".json"
        )


@dataclasses.dataclass(slots=True)
class RunOptions:
    """The options of one run.

    Attributes:
        topology: The deployment to start.
        seconds: How long load is applied, in seconds.
        seed: Seed of the load's random choices.
        policy: `fleet`, or `naive` for the baseline.
    """

    topology: topology_module.Topology
    seconds: float = 20.0
    seed: int = 0
    policy: str = "fleet"


@dataclasses.dataclass(slots=True)
class Result:
    """Results of a run.

    Attributes:
        violations: One sentence for each failed check of correctness.
        lost: Count of accepted requests and items without a response.
        duplicated: Count of requests and items with more than one response or
            run.
        in_rate: Count of requests within their organisation's rate.
        in_rate_refused: Count of those that were refused.
        fields: The report's fields that only this scenario has.
        curves: Latency distributions by name, for plots; see
            `generator.Latencies.curve`.
    """

    violations: list[str] = dataclasses.field(default_factory=list)
    lost: int = 0
    duplicated: int = 0
    in_rate: int = 0
    in_rate_refused: int = 0
    fields: dict[str, Any] = dataclasses.field(default_factory=dict)
    curves: dict[str, list[Point]] = dataclasses.field(default_factory=dict)

    def expect(self, condition: bool, violation: str) -> None:
        """Records a violation unless a condition is true."""
        if not condition:
            self.violations.append(violation)

    def report(self, name: str, options: RunOptions) -> dict[str, Any]:
        """Returns the report of the run, with its outer field names."""
        fraction = self.in_rate_refused / max(1, self.in_rate)
        ok = not self.violations and not self.lost and not self.duplicated
        return {
            "scenario": name,
            "topology": options.topology.name,
            "policy": options.policy,
            "seed": options.seed,
            "seconds": options.seconds,
            "ok": ok,
            "violations": self.violations,
            "lost": self.lost,
            "duplicated": self.duplicated,
            "refused_in_rate_fraction": fraction,
            **self.fields,
        }


SHARED_FIELDS = ("scenario", "topology", "policy", "seed", "seconds")
BASELINE_PREFIX = "baseline_"


def add_baseline(run: SavedRun, baseline: SavedRun) -> SavedRun:
    """Returns a run with its baseline's fields and curves added.

    The baseline is for comparison only: its violations do not fail the run.

    >>> one = SavedRun({"ok": True, "p99": 2})
    >>> add_baseline(one, SavedRun({"ok": False, "p99": 5})).report
    {'ok': True, 'p99': 2, 'baseline_ok': False, 'baseline_p99': 5}
    """
    fields = {
        BASELINE_PREFIX + name: value
        for name, value in baseline.report.items()
        if name not in SHARED_FIELDS
    }
    curves = {BASELINE_PREFIX + n: c for n, c in baseline.curves.items()}
    return SavedRun({**run.report, **fields}, {**run.curves, **curves})


def save(run: SavedRun, folder: pathlib.Path) -> pathlib.Path:
    """Writes a run into a folder; returns its file."""
    folder.mkdir(parents=True, exist_ok=True)
    path = folder / run.file_name()
    path.write_bytes(msgspec.json.format(msgspec.json.encode(run)) + b"\n")
    return path


def load(folder: pathlib.Path) -> list[SavedRun]:
    """Returns the runs saved in a folder, by file name."""
    return [
        msgspec.json.decode(path.read_bytes(), type=SavedRun)
        for path in sorted(folder.glob("*.json"))
    ]


Scenario = Callable[[RunOptions], Awaitable[Result]]
