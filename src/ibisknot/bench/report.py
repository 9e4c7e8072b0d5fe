"""Writes an HTML page with tables and plots of saved runs."""

import base64
import html
import io
import pathlib
from typing import Any

from matplotlib import figure

from ibisknot import errors
from ibisknot.bench import scenario

PAGE_FILE_NAME = "report.html"
WIDTH_IN = 7.0
HEIGHT_IN = 3.2
STYLE = (
    "body{font:15px sans-serif;max-width:60em;margin:2em auto}"
    "td,th{padding:2px 12px;text-align:left;border-bottom:1px solid #ddd}"
    ".bad{color:#b00}.good{color:#070}"
)


def write(folder: pathlib.Path) -> pathlib.Path:
    """Writes the page of all runs saved in a folder, into this folder.

    Returns:
        The path of the page.

    Raises:
        NotFoundError: The folder has no saved run.
    """
    runs = scenario.load(folder)
    if not runs:
        raise errors.NotFoundError(f"no saved runs in {folder}")
    path = folder / PAGE_FILE_NAME
    path.write_text(render_page(runs), encoding="utf-8")
    return path


def render_page(runs: list[scenario.SavedRun]) -> str:
    """Returns the HTML of the page of some runs."""
    sections = "".join(_render_section(run) for run in runs)
    return (
        "<!doctype html><html lang=en><meta charset=utf-8>"
        f"<title>ibisknot bench</title><style>{STYLE}</style>"
        f"<h1>ibisknot bench</h1>{sections}</html>\n"
    )


def _render_section(run: scenario.SavedRun) -> str:
    report = run.report
    title = f"{report['scenario']} ({report['topology']}, {report['policy']})"
    verdict = ("good", "passed") if report["ok"] else ("bad", "failed")
    parts = [
        f"<h2>{html.escape(title)}</h2>",
        f"<p>{report['seconds']:g} s, seed {report['seed']}: "
        f"<b class={verdict[0]}>{verdict[1]}</b></p>",
        _render_violations(report),
        _render_table(report),
    ]
    if run.curves:
        parts.append(
            _embed_plot(plot_distribution(run.curves), "latency distribution")
        )
    pairs = paired_numbers(report)
    if pairs:
        parts.append(
            _embed_plot(plot_comparison(pairs), "policy beside baseline")
        )
    return "".join(parts)


def _render_violations(report: dict[str, Any]) -> str:
    items = "".join(
        f"<li>{html.escape(str(text))}</li>" for text in report["violations"]
    )
    return f"<ul class=bad>{items}</ul>" if items else ""


def _render_table(report: dict[str, Any]) -> str:
    rows = []
    for name, value in report.items():
        hidden = (*scenario.SHARED_FIELDS, "violations", "ok")
        if name in hidden or name.startswith(scenario.BASELINE_PREFIX):
            continue
        baseline_value = report.get(scenario.BASELINE_PREFIX + name, "")
        cells = (name, _format_value(value), _format_value(baseline_value))
        text = "".join(f"<td>{html.escape(cell)}</td>" for cell in cells)
        rows.append(f"<tr>{text}</tr>")
    head = "<tr><th>field<th>policy<th>baseline</tr>"
    return f"<table>{head}{''.join(rows)}</table>"


def _format_value(value: Any) -> str:
    return f"{value:.4g}" if isinstance(value, float) else str(value)


def paired_numbers(report: dict[str, Any]) -> dict[str, tuple[float, float]]:
    """Returns the numeric fields that a report has for policy and baseline.

    Fields that are 0 in both are left out.

    >>> paired_numbers({"p99": 2.0, "baseline_p99": 5.0, "ok": True})
    {'p99': (2.0, 5.0)}
    """
    pairs = {}
    for name, value in report.items():
        baseline_value: Any = report.get(scenario.BASELINE_PREFIX + name)
        if (
            _is_number(value)
            and _is_number(baseline_value)
            and (value or baseline_value)
        ):
            pairs[name] = (float(value), float(baseline_value))
    return pairs


def _is_number(value: Any) -> bool:
    return isinstance(value, int | float) and not isinstance(value, bool)


def plot_distribution(curves: dict[str, list[scenario.Point]]) -> figure.Figure:
    """Plots latency over percentiles, on a scale that expands the tail."""
    plot = figure.Figure(figsize=(WIDTH_IN, HEIGHT_IN), layout="tight")
    axes = plot.subplots()
    for name, points in curves.items():
        finite_points = [point for point in points if point.fraction < 1.0]
        axes.plot(
            [1 / (1 - point.fraction) for point in finite_points],
            [point.latency_ms for point in finite_points],
            label=name.replace("_", " "),
            linestyle="--" if name.startswith("baseline") else "-",
        )
    axes.set_xscale("log")
    axes.set_xticks([1, 2, 10, 100, 1000], ["0", "50", "90", "99", "99.9"])
    axes.set_xlabel("percentile")
    axes.set_ylabel("latency, ms")
    axes.set_ylim(bottom=0)
    axes.grid(alpha=0.3)
    axes.legend()
    return plot


def plot_comparison(pairs: dict[str, tuple[float, float]]) -> figure.Figure:
    """Plots each field's two values as fractions of the larger one."""
    height = 0.8 + 0.35 * len(pairs)
    plot = figure.Figure(figsize=(WIDTH_IN, height), layout="tight")
    axes = plot.subplots()
    names = list(pairs)
    for offset, column, label in ((-0.2, 0, "policy"), (0.2, 1, "baseline")):
        axes.barh(
            [index + offset for index in range(len(names))],
            [pairs[name][column] / max(pairs[name]) for name in names],
            height=0.38,
            label=label,
        )
    axes.set_yticks(range(len(names)), [n.replace("_", " ") for n in names])
    axes.invert_yaxis()
    axes.set_xlabel("fraction of the larger one")
    axes.legend()
    return plot


def _embed_plot(plot: figure.Figure, title: str) -> str:
    buffer = io.BytesIO()
    plot.savefig(buffer, format="png", dpi=110)
    data = base64.b64encode(buffer.getvalue()).decode()
    return f'<p><img alt="{title}" src="data:image/png;base64,{data}"></p>'
