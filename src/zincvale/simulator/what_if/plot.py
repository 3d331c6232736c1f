"""Plot of a what-if comparison: the series of both runs over the time of the load.

This module imports matplotlib, so import it only where a plot is drawn.
"""

from __future__ import annotations

from pathlib import Path

from matplotlib.axes import Axes
from matplotlib.backends.backend_agg import FigureCanvasAgg
from matplotlib.figure import Figure

from zincvale.simulator.what_if.figures import RunFigures
from zincvale.simulator.what_if.report import Comparison

SIZE_INCHES = (11.0, 11.0)
DOTS_PER_INCH = 90
COLOURS = ("#1c7ed6", "#d9480f")
PANELS = (
    ("answered", "requests answered"),
    ("refused_attempts", "attempts refused"),
    ("waited_for_load", "requests that waited for a load"),
    ("first_p99_ms", "p99 to the first byte, ms"),
)


def write_plot(comparison: Comparison, path: Path) -> None:
    """Write the plot; the suffix of the file selects its format (png, svg, pdf)."""
    figure = Figure(figsize=SIZE_INCHES, layout="constrained")
    FigureCanvasAgg(figure)
    panels = figure.subplots(len(PANELS), 1, sharex=True)
    for axes, (name, title) in zip(panels, PANELS, strict=True):
        _draw(axes, comparison, name, title)
    panels[-1].set_xlabel("seconds after the load began")
    panels[0].legend(loc="upper left", fontsize="small")
    figure.savefig(path, dpi=DOTS_PER_INCH)


def _draw(axes: Axes, comparison: Comparison, name: str, title: str) -> None:
    runs = [("without the change", comparison.before)]
    if comparison.after is not None:
        runs.append(("with the change", comparison.after))
    for (label, figures), colour in zip(runs, COLOURS, strict=False):
        axes.step(
            figures.series["at_s"], figures.series[name], where="post", label=label, color=colour
        )
    axes.set_title(f"{title}, each {_interval(comparison.before)}", fontsize="medium")
    axes.set_ylim(bottom=0)
    if comparison.after is not None:
        axes.axvline(comparison.inputs.scenario.apply_at_s, color="#868e96", linestyle=":")


def _interval(figures: RunFigures) -> str:
    return f"{figures.interval_s:.0f} s"
