"""Parses replies of the store, in which some values may not be readable.

Any process may write objects. One that writes a value that is nested too
deeply, a number that is too long or bytes that are no text must not keep the
others from reading the rest of the listing.
"""

import json
import re
from typing import Any

# Nesting of a reply; a longer path of brackets exhausts the parser's stack.
MAX_DEPTH = 64
# Longer numbers are out of the range of all fields, and the parser refuses
# those of thousands of digits.
MAX_NUMBER_CHARACTERS = 400
_TOKEN = re.compile(
    r'"(?:[^"\\]|\\.)*"|[\[{]|[\]}]|-?[0-9][0-9.eE+-]*', re.DOTALL
)


def parse_object(content: bytes) -> dict | None:
    """Returns the JSON object in a body, or None.

    A part of an encoded object is never an object. Values that can't be read
    are null, and text that can't be decoded has replacement characters.
    """
    try:
        document = json.loads(content)
    except (ValueError, RecursionError):
        text = content.decode("utf-8", "replace")
        try:
            document = json.loads(_drop_unreadable(text), strict=False)
        except ValueError:
            return None
    return document if isinstance(document, dict) else None


def is_too_deep(value: Any, max_depth: int = MAX_DEPTH) -> bool:
    """Returns whether a parsed value is nested too deeply to be passed on."""
    level = [value]
    for _ in range(max_depth):
        level = [
            child
            for parent in level
            for child in (
                parent.values() if isinstance(parent, dict) else parent
            )
            if isinstance(child, (dict, list))
        ]
        if not level:
            return False
    return True


def _drop_unreadable(text):
    """Returns a JSON text with null for values that are too deep or long."""
    parts = []
    depth = 0
    copied_to = 0
    for token in _TOKEN.finditer(text):
        first = token[0][0]
        if first in "[{":
            depth += 1
            if depth == MAX_DEPTH + 1:
                parts += (text[copied_to : token.start()], "null")
        elif first in "]}":
            if depth == MAX_DEPTH + 1:
                copied_to = token.end()
            depth -= 1
        elif (
            first != '"'
            and depth <= MAX_DEPTH
            and len(token[0]) > MAX_NUMBER_CHARACTERS
        ):
            parts += (text[copied_to : token.start()], "null")
            copied_to = token.end()
    if depth <= MAX_DEPTH:
        parts.append(text[copied_to:])
    return "".join(parts)
