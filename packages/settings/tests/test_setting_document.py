"""docs/SETTINGS.md matches the schema."""

from pathlib import Path

from tanagercourse.settings.document import render_document

DOCUMENT = Path(__file__).parents[3] / "docs" / "SETTINGS.md"


def test_document_is_current() -> None:
    assert DOCUMENT.read_text() == render_document()
