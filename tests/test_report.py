"""Saved runs and the report page."""

import pathlib

import pytest

from ibisknot import errors
from ibisknot.bench import generator
from ibisknot.bench import report
from ibisknot.bench import scenario
from ibisknot.bench import topology


def make_run(policy: str, latency_s: float) -> scenario.SavedRun:
    latencies = generator.Latencies()
    for index in range(100):
        latencies.add(latency_s * (1 + index / 100))
    result = scenario.Result(fields={"p99_ms": latencies.quantile_ms(0.99)})
    result.expect(policy == "fleet", "<b>naive</b> violates")
    run_options = scenario.RunOptions(topology=topology.UMURUNGA, policy=policy)
    curves = {"first token": latencies.curve()}
    return scenario.SavedRun(result.report("online-burst", run_options), curves)


def test_saved_run_is_read_back(tmp_path: pathlib.Path) -> None:
    """Guards against saved runs that lose fields or curves."""
    one = scenario.add_baseline(
        make_run("fleet", 0.01), make_run("naive", 0.05)
    )
    scenario.save(one, tmp_path)
    scenario.save(one, tmp_path)
    assert scenario.load(tmp_path) == [one]


def test_baseline_violations_do_not_fail_a_run() -> None:
    """Guards against baseline violations that fail the run."""
    both = scenario.add_baseline(
        make_run("fleet", 0.01), make_run("naive", 0.05)
    )
    assert both.report["ok"] and not both.report["violations"]
    assert both.report["baseline_violations"]
    assert both.report["baseline_p99_ms"] > both.report["p99_ms"]
    assert set(both.curves) == {"first token", "baseline_first token"}


def test_page_has_plots_and_escapes_text(tmp_path: pathlib.Path) -> None:
    """Guards against pages without plots, or broken by a violation's text."""
    scenario.save(
        scenario.add_baseline(make_run("fleet", 0.01), make_run("naive", 0.05)),
        tmp_path,
    )
    scenario.save(make_run("naive", 0.05), tmp_path)
    text = report.write(tmp_path).read_text()
    assert text.count("data:image/png") == 3
    assert "&lt;b&gt;naive" in text and "<b>naive" not in text


def test_no_saved_runs_is_an_error(tmp_path: pathlib.Path) -> None:
    """Guards against a report page without runs."""
    with pytest.raises(errors.NotFoundError):
        report.write(tmp_path)
