"""Command line of the benchmarks: runs groups of measures and reports them."""

from pathlib import Path

import click

from tanagercourse.bench.burn import measure_burn
from tanagercourse.bench.control import measure_control
from tanagercourse.bench.lookups import measure_lookups
from tanagercourse.bench.measure import Measure, MeasureGroup
from tanagercourse.bench.platform_calls import measure_reading
from tanagercourse.bench.ranks import measure_pairs, measure_ranks
from tanagercourse.bench.report import format_table, write_json
from tanagercourse.bench.requests import measure_requests
from tanagercourse.bench.sharing import measure_sharing
from tanagercourse.bench.shifts import measure_seeds, measure_shifts

DEFAULT_SEED = 1

# Groups of measures by their name in the option --group.
GROUPS: dict[str, MeasureGroup] = {
    "burn": measure_burn,
    "control": measure_control,
    "lookup": measure_lookups,
    "requests": measure_requests,
    "reading": measure_reading,
    "sharing": measure_sharing,
    "shift": measure_shifts,
    "shift-seeds": measure_seeds,
    "steering": measure_ranks,
    "steering-pairs": measure_pairs,
}


@click.command()
@click.option("--seed", default=DEFAULT_SEED, show_default=True)
@click.option("--group", "groups", multiple=True, type=click.Choice(sorted(GROUPS)))
@click.option(
    "--json-file",
    type=click.Path(path_type=Path),
    default=Path("bench-results.json"),
    show_default=True,
)
def main(seed: int, groups: tuple[str, ...], json_file: Path) -> None:
    """Run the measures, print them as a table and write them as JSON."""
    measures: list[Measure] = []
    for group in groups or sorted(GROUPS):
        measures.extend(GROUPS[group](seed))
    click.echo(format_table(measures))
    write_json(measures, json_file)


if __name__ == "__main__":
    main()
