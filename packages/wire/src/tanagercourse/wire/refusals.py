"""Human-readable bodies of refusals; programs read the headers instead."""

import msgspec

from tanagercourse.core.problems import InvalidField, Refusal


def encode_refusal(refusal: Refusal) -> bytes:
    """Encode a refusal as JSON text."""
    return msgspec.json.encode(refusal)


def encode_invalid_field(problem: InvalidField) -> bytes:
    """Encode a problem with an input field as JSON text."""
    return msgspec.json.encode(problem)
