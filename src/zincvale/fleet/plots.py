"""Plots of a run on one time axis: latency, outcomes, loaded weights and faults."""

from __future__ import annotations

import io

from matplotlib.axes import Axes
from matplotlib.backends.backend_agg import FigureCanvasAgg
from matplotlib.figure import Figure

from zincvale.fleet.figures import Figures

SIZE_INCHES = (11.0, 13.0)
DOTS_PER_INCH = 90
LONGEST_TARGET = 34
COLOUR_BY_OUTCOME = {
    "answered": "#2b8a3e",
    "refused": "#f59f00",
    "unknown": "#c92a2a",
    "interrupted": "#862e9c",
    "lost": "#495057",
    "not-connected": "#adb5bd",
    "no-node": "#ced4da",
}


def draw_timeline(figures: Figures) -> bytes:
    """Return a PNG image with the four plots, one above the other."""
    figure = Figure(figsize=SIZE_INCHES, layout="constrained")
    FigureCanvasAgg(figure)
    latency, outcomes, residency, faults = figure.subplots(
        4, 1, sharex=True, height_ratios=[3, 3, 3, max(2.0, 0.22 * len(figures.faults))]
    )
    _draw_latency(latency, figures)
    _draw_outcomes(outcomes, figures)
    _draw_residency(residency, figures)
    _draw_faults(faults, figures)
    faults.set_xlim(0, figures.duration_s)
    faults.set_xlabel("seconds after the load began")
    for axes in (latency, outcomes, residency):
        _mark_faults(axes, figures)
    image = io.BytesIO()
    figure.savefig(image, format="png", dpi=DOTS_PER_INCH)
    return image.getvalue()


def _draw_latency(axes: Axes, figures: Figures) -> None:
    for route, series in figures.first_ms.items():
        axes.plot(series.x, series.y, marker=".", label=route)
    axes.set_ylabel("p99 to first byte or piece, ms")
    axes.set_title("Latency of answered requests, by route, each second")
    if figures.first_ms:
        axes.set_yscale("log")
        axes.legend(loc="upper left", fontsize="small")


def _draw_outcomes(axes: Axes, figures: Figures) -> None:
    axes.set_title("Outcomes of attempts, each second")
    axes.set_ylabel("attempts")
    if not figures.outcomes:
        return
    x = next(iter(figures.outcomes.values())).x
    axes.stackplot(
        x,
        [series.y for series in figures.outcomes.values()],
        labels=list(figures.outcomes),
        colors=[COLOUR_BY_OUTCOME.get(outcome, "#868e96") for outcome in figures.outcomes],
        step="post",
    )
    axes.legend(loc="upper left", fontsize="small")


def _draw_residency(axes: Axes, figures: Figures) -> None:
    axes.set_title("Models and adapters loaded, by server")
    axes.set_ylabel("number loaded")
    for server, series in figures.residency.items():
        axes.step(series.x, series.y, where="post", label=server)
    if figures.residency:
        axes.legend(loc="upper left", fontsize="x-small", ncols=3)


def _draw_faults(axes: Axes, figures: Figures) -> None:
    axes.set_title("Faults and changes")
    labels = []
    for row, fault in enumerate(figures.faults):
        width = max(fault.end - fault.start, figures.duration_s / 300)
        axes.barh(row, width, left=fault.start, height=0.7, color="#1c7ed6")
        labels.append(f"{fault.kind} {_short(fault.target)}")
    axes.set_yticks(range(len(labels)), labels, fontsize="x-small")
    axes.invert_yaxis()


def _mark_faults(axes: Axes, figures: Figures) -> None:
    for fault in figures.faults:
        axes.axvline(fault.start, color="#1c7ed6", linewidth=0.6, alpha=0.5)


def _short(text: str) -> str:
    return text if len(text) <= LONGEST_TARGET else text[: LONGEST_TARGET - 1] + "…"
