"""Output of measures as a text table and as JSON."""

from collections.abc import Iterable
from pathlib import Path

import msgspec

from tanagercourse.bench.measure import Measure

HEADINGS = ("name", "unit", "ours", "naive", "ratio", "target", "met")


def format_table(measures: Iterable[Measure]) -> str:
    """Return measures as a plain-text table with headings."""
    rows = [HEADINGS, *(_format_row(measure) for measure in measures)]
    widths = [max(len(row[column]) for row in rows) for column in range(len(HEADINGS))]
    return "\n".join(
        "  ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=True))
        for row in rows
    )


def write_json(measures: Iterable[Measure], file: Path) -> None:
    """Write measures, with ratio and met, to a JSON file."""
    rows = [
        {**msgspec.to_builtins(measure), "ratio": measure.ratio, "met": measure.is_met}
        for measure in measures
    ]
    file.write_bytes(msgspec.json.format(msgspec.json.encode(rows)))


def _format_row(measure: Measure) -> tuple[str, ...]:
    target = measure.target
    return (
        measure.name,
        measure.unit,
        _format_figure(measure.ours),
        _format_figure(measure.naive),
        _format_figure(measure.ratio),
        f"{target.bound.value} {target.value:g}" if target else "",
        {None: "", True: "yes", False: "NO"}[measure.is_met],
    )


def _format_figure(value: float | None) -> str:
    return "" if value is None else f"{value:.4g}"
