"""docs/SETTINGS.md says what the schema says."""

from pathlib import Path

from tanagercourse.settings.document import write_document

DOCUMENT = Path(__file__).parents[3] / "docs" / "SETTINGS.md"


def test_document_is_current() -> None:
    assert DOCUMENT.read_text() == write_document()
