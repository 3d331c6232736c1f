"""`zincvale simulate what-if`: simulates the effects of a change before it is applied."""

from __future__ import annotations

import sys
from pathlib import Path

import orjson

from zincvale.fleet.run_options import RunOptions
from zincvale.model.errors import InvalidInputError, ZincvaleError
from zincvale.simulator.what_if.comparison import compare
from zincvale.simulator.what_if.inputs import read_what_if
from zincvale.simulator.what_if.report import comparison_lines

EXIT_REFUSED = 2
"""Exit status when an option or an input is invalid."""
OUTPUTS = ("text", "json")
PLOT_SUFFIXES = (".png", ".svg", ".pdf")


def what_if(
    f: str = "",
    deployment: str = "nilebridge",
    load: str = "steady",
    faults: str = "",
    seconds: float = 0.0,
    seed: int = 1,
    apply_at: float = 0.0,
    rate_factor: float = 1.0,
    output: str = "text",
    plot: str = "",
    jobs: int = 2,
) -> None:
    """Compare the deployment's intent with and without a change, in virtual time.

    The daemons' own reducer, placement controller, directory, admission, routing and request
    machines run against the stand-ins' engine and memory, under the callers' seeded load. The
    change is checked as a core checks it; an invalid one is refused before the run. The same seed
    gives the same figures.

    Examples:
        zincvale simulate what-if -f change.yaml --deployment nilebridge --load busy --seconds 600
        zincvale simulate what-if -f drain.yaml --faults servers-crash --output json
        zincvale simulate what-if -f change.yaml --seconds 86400 --plot day.png

    Args:
        f: file of resources to merge (YAML, as for `zincvale apply`); empty for no change.
        deployment: a folder, or the name of one under deployments/.
        load: a load file, or the name of one in the deployment.
        faults: a fault file, or the name of a ready one (`zincvale fleet faults` lists them); the
            report lists what of it is not modelled.
        seconds: how long new requests arrive; 0 for the length in the fault file (30 without one).
        seed: of load, faults and all random choices.
        apply_at: seconds after the load began at which the change is applied.
        rate_factor: multiplies every caller's rate.
        output: text or json.
        plot: file for a plot of both runs (.png, .svg or .pdf).
        jobs: 2 simulates both runs of a long load in parallel processes; 1 in sequence.
    """
    options = RunOptions(
        deployment=str(deployment),
        load=str(load),
        faults=str(faults),
        seconds=float(seconds),
        seed=int(seed),
        rate_factor=float(rate_factor),
    )
    try:
        _check_outputs(output, str(plot))
        inputs = read_what_if(options, str(f), float(apply_at))
    except ZincvaleError as error:
        print(f"error: {error}", file=sys.stderr)
        sys.exit(EXIT_REFUSED)
    comparison = compare(inputs, int(jobs))
    if plot:
        from zincvale.simulator.what_if.plot import write_plot

        write_plot(comparison, Path(str(plot)))
    if output == "json":
        print(orjson.dumps(comparison.to_json(), option=orjson.OPT_INDENT_2).decode())
    else:
        print("\n".join(comparison_lines(comparison)))


def _check_outputs(output: str, plot: str) -> None:
    if output not in OUTPUTS:
        raise InvalidInputError(f"output is {output!r}", f"write one of {', '.join(OUTPUTS)}")
    if plot and Path(plot).suffix not in PLOT_SUFFIXES:
        raise InvalidInputError(f"plot is {plot!r}", f"end it in one of {', '.join(PLOT_SUFFIXES)}")
    if plot and not Path(plot).absolute().parent.is_dir():
        raise InvalidInputError(f"plot is {plot!r}", "name a file in a folder that exists")


if __name__ == "__main__":
    import fire

    fire.Fire(what_if)
