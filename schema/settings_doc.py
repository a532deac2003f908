"""Generates docs/SETTINGS.md from the schemas.

Run without arguments to write the page, with `--check` to compare the
committed page with what the schemas give.
"""

import json
from pathlib import Path
import sys

SCHEMA_DIR = Path(__file__).parent
PAGE = SCHEMA_DIR.parent / "docs" / "SETTINGS.md"
HEAD = """# Settings

Generated from `schema/` by `python schema/settings_doc.py`; don't edit.

Each program reads one file in JSON with comments (JSON5), named by
`--settings FILE`. Names carry their unit: `_s` is seconds, `_bytes`
bytes. Numbers are 0 or more unless said otherwise.

All findings are printed to stderr at once, each with its place in the
file, and the program ends with exit code 78. A key that is not listed
here is a finding. Where a key is given twice, the last one counts. Keys
without a default must be given, unless the object that they belong to is
optional and absent.
"""
SECTIONS = (
    ("entry_settings", "hemlocktiller-entry"),
    ("agent_settings", "hemlocktiller-agent"),
    ("operator_settings", "hemlocktiller"),
    ("config", "Plans and allowances"),
)
TABLE_HEAD = "| key | type | default | meaning |\n|---|---|---|---|\n"
BOUNDS = {
    "minimum": "at least {}",
    "exclusiveMinimum": "over {}",
    "maximum": "at most {}",
    "minLength": "{} characters or more",
    "maxLength": "{} characters or fewer",
    "pattern": "`{}`",
}


def _resolved(schema, definitions):
    """Returns a schema, or the definition that it refers to."""
    if "$ref" in schema:
        return definitions[schema["$ref"].rsplit("/", 1)[1]]
    return schema


def _type_text(schema):
    """Returns type and bounds of a field."""
    kind = schema["type"]
    if kind == "array" and "type" in schema["items"]:
        kind = f"list of {schema['items']['type']}"
    bounds = [
        text.format(schema[key])
        for key, text in BOUNDS.items()
        if key in schema and (key, schema[key]) != ("minimum", 0)
    ]
    return ", ".join([kind, *bounds])


def _default_text(schema, required):
    """Returns the default of a field, or that it is required."""
    if "default" in schema:
        return f"`{json.dumps(schema['default'])}`"
    return "required" if required else "optional"


def _rows(schema, definitions, prefix=""):
    """Yields the table rows of the fields of an object."""
    for key, field in schema["properties"].items():
        field = _resolved(field, definitions)
        name = prefix + key
        required = key in schema["required"]
        items = _resolved(field.get("items", {}), definitions)
        is_object = "properties" in field
        kind = "object" if is_object else _type_text(field)
        if "properties" in items:
            kind = "list of objects"
        cells = [f"`{name}`", kind, _default_text(field, required)]
        yield f"| {' | '.join([*cells, field['description']])} |\n"
        if is_object:
            yield from _rows(field, definitions, f"{name}.")
        elif "properties" in items:
            yield from _rows(items, definitions, f"{name}[].")


def _section(name, title):
    """Returns the section of one schema."""
    schema = json.loads((SCHEMA_DIR / f"{name}.json").read_text())
    rows = "".join(_rows(schema, schema.get("$defs", {})))
    parts = [f"\n## {title}\n\n{schema['description']}\n"]
    if "oneOf" in schema:
        names = [f"`{item['required'][0]}`" for item in schema["oneOf"]]
        parts.append(f"Exactly one of {' and '.join(names)} is given.\n")
    return "".join([*parts, "\n", TABLE_HEAD, rows])


def main(arguments):
    """Writes or checks the page; returns the exit code."""
    text = HEAD + "".join(_section(*section) for section in SECTIONS)
    if "--check" not in arguments:
        PAGE.write_text(text)
        return 0
    if PAGE.exists() and PAGE.read_text() == text:
        return 0
    print("docs/SETTINGS.md is stale: run python schema/settings_doc.py")
    return 1


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
