"""Render the burn report as one self-contained HTML page."""

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
<p>Made at $made_at, sources: $sources. Latency, headroom, drains and floods cover
the last $over_min minutes. Grey: too little was measured to rule out an alert.</p>
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
    """A row of the report and the timeline to plot for it."""

    row: BurnRow
    points: tuple[TimelinePoint, ...]


def render_page(report: BurnReport, timelines: Sequence[RowTimeline]) -> str:
    """Return the report as HTML text.

    Args:
        report: The report.
        timelines: The rows to plot below the table, in order.
    """
    made_at = datetime.fromtimestamp(report.made_at_s, UTC)
    return _PAGE.substitute(
        made_at=made_at.isoformat(timespec="seconds"),
        sources=report.sources,
        over_min=report.over_s // 60,
        headings="".join(
            f"<th>{escape(name)}</th>" for name in column_headings(report)
        ),
        rows="\n".join(_render_row(row) for row in report.rows),
        plots="\n".join(_render_plot(report, timeline) for timeline in timelines),
    )


def _render_row(row: BurnRow) -> str:
    html_cells = "".join(f"<td>{escape(text)}</td>" for text in row_cells(row))
    return f'<tr class="{row.alert.value}">{html_cells}</tr>'


def _render_plot(report: BurnReport, timeline: RowTimeline) -> str:
    row = timeline.row
    title = f"{row.customer} / {row.service} ({row.rank.value})"
    svg = draw_svg(row, timeline.points, report.made_at_s)
    return f"<h2>{escape(title)}</h2>\n{svg}"
