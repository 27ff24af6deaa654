"""Format settings and compare two versions of them."""

import difflib

import msgspec


def format_json(value: bytes | str) -> str:
    """Return JSON text indented with one field per line, any other text unchanged."""
    text = value.decode(errors="replace") if isinstance(value, bytes) else value
    try:
        return msgspec.json.format(text)
    except msgspec.MsgspecError:
        return text


def diff_json(
    before: bytes | str, after: bytes | str, before_name: str, after_name: str
) -> str:
    """Return a unified diff of two JSON texts, empty if they differ only in layout.

    Args:
        before: The old JSON text.
        after: The new JSON text.
        before_name: Label of the old text in the diff's header.
        after_name: Label of the new text in the diff's header.
    """
    lines = difflib.unified_diff(
        format_json(before).splitlines(),
        format_json(after).splitlines(),
        before_name,
        after_name,
        lineterm="",
    )
    return "\n".join(lines)
