"""Body of a refusal, for people; programs read its headers."""

import msgspec

from tanagercourse.core.problems import InvalidField, Refusal


def encode_refusal(refusal: Refusal) -> bytes:
    """Return a refusal as JSON text."""
    return msgspec.json.encode(refusal)


def encode_invalid_field(problem: InvalidField) -> bytes:
    """Return an input problem as JSON text that names the field."""
    return msgspec.json.encode(problem)
