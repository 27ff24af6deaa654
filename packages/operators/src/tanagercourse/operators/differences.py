"""Show how two versions of settings differ."""

import difflib

import msgspec


def format_json(value: bytes | str) -> str:
    """Return JSON text with one field a line; other text unchanged."""
    text = value.decode(errors="replace") if isinstance(value, bytes) else value
    try:
        return msgspec.json.format(text)
    except msgspec.MsgspecError:
        return text


def diff_json(
    before: bytes | str, after: bytes | str, before_name: str, after_name: str
) -> str:
    """Return a unified diff of two values, empty when they say the same.

    Args:
        before: JSON text.
        after: JSON text.
        before_name: What to call the first.
        after_name: What to call the second.
    """
    lines = difflib.unified_diff(
        format_json(before).splitlines(),
        format_json(after).splitlines(),
        before_name,
        after_name,
        lineterm="",
    )
    return "\n".join(lines)
