"""Write the report as one HTML page that needs nothing besides itself."""

from collections.abc import Sequence
from dataclasses import dataclass
from datetime import UTC, datetime
from html import escape
from string import Template

from tanagercourse.burn.plots import draw_svg
from tanagercourse.burn.report import BurnReport, BurnRow
from tanagercourse.burn.tables import column_headings, row_cells
from tanagercourse.burn.timeline import TimelinePoint

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
class RowTimeline:
    """A row of the report and its points in time."""

    row: BurnRow
    points: tuple[TimelinePoint, ...]


def render_page(report: BurnReport, plotted: Sequence[RowTimeline]) -> str:
    """Return the page's text."""
    made_at = datetime.fromtimestamp(report.made_at_s, UTC)
    return _PAGE.substitute(
        made_at=made_at.isoformat(timespec="seconds"),
        sources=report.sources,
        over_min=report.over_s // 60,
        headings="".join(
            f"<th>{escape(name)}</th>" for name in column_headings(report)
        ),
        rows="\n".join(_render_row(row) for row in report.rows),
        plots="\n".join(_render_plot(report, each) for each in plotted),
    )


def _render_row(row: BurnRow) -> str:
    texts = "".join(f"<td>{escape(text)}</td>" for text in row_cells(row))
    return f'<tr class="{row.alert.value}">{texts}</tr>'


def _render_plot(report: BurnReport, plotted: RowTimeline) -> str:
    row = plotted.row
    title = f"{row.customer} / {row.service} ({row.rank.value})"
    svg = draw_svg(row, plotted.points, report.made_at_s)
    return f"<h2>{escape(title)}</h2>\n{svg}"
