"""Write the report as one HTML page that needs nothing besides itself."""

from collections.abc import Sequence
from dataclasses import dataclass
from datetime import UTC, datetime
from html import escape
from string import Template

from tanagercourse.burn.plots import draw
from tanagercourse.burn.report import BurnReport, BurnRow
from tanagercourse.burn.tables import cells, headings
from tanagercourse.burn.timeline import Point

_PAGE = Template(
    """<!DOCTYPE html>
<html lang="en">
<head>
<meta charset="utf-8">
<title>Service-level burn</title>
<style>
body { font-family: sans-serif; margin: 2em; }
table { border-collapse: collapse; font-size: 80%; }
th, td { border: 1px solid #bbb; padding: 0.2em 0.4em; text-align: left; }
tr.page td { background: #f6c9c9; }
tr.ticket td { background: #f9e6b8; }
tr.unknown td { background: #dddddd; }
svg { max-width: 100%; height: auto; }
</style>
</head>
<body>
<h1>Service-level burn</h1>
<p>Made at $made_at, sources: $sources. Latency, headroom, drains and floods are
those of the last $over_min minutes. Grey: too little was measured to tell.</p>
<table>
<thead><tr>$headings</tr></thead>
<tbody>
$rows
</tbody>
</table>
$plots
</body>
</html>
"""
)


@dataclass(frozen=True)
class PlottedRow:
    """A row of the report and its points in time."""

    row: BurnRow
    points: tuple[Point, ...]


def write_page(report: BurnReport, plotted: Sequence[PlottedRow]) -> str:
    """Return the page's text."""
    made_at = datetime.fromtimestamp(report.made_at_s, UTC)
    return _PAGE.substitute(
        made_at=made_at.isoformat(timespec="seconds"),
        sources=report.sources,
        over_min=report.over_s // 60,
        headings="".join(f"<th>{escape(name)}</th>" for name in headings(report)),
        rows="\n".join(_row(row) for row in report.rows),
        plots="\n".join(_plot(report, each) for each in plotted),
    )


def _row(row: BurnRow) -> str:
    texts = "".join(f"<td>{escape(text)}</td>" for text in cells(row))
    return f'<tr class="{row.alert.value}">{texts}</tr>'


def _plot(report: BurnReport, plotted: PlottedRow) -> str:
    row = plotted.row
    title = f"{row.customer} / {row.service} ({row.rank.value})"
    svg = draw(row, plotted.points, report.made_at_s)
    return f"<h2>{escape(title)}</h2>\n{svg}"
