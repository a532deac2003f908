"""Generates docs/SETTINGS.md from the schemas.

Run without arguments to write the page, or with `--check` to compare the
committed page with a newly generated one.
"""

import json
from pathlib import Path
import sys

SCHEMA_DIR = Path(__file__).parent
PAGE = SCHEMA_DIR.parent / "docs" / "SETTINGS.md"
PAGE_HEADER = """# Settings

Generated from `schema/` by `python schema/settings_doc.py`; don't edit.

Each program reads one file in JSON with comments (JSON5), named by
`--settings FILE`. Names carry their unit: `_s` is seconds, `_bytes`
bytes. Numbers are 0 or more unless said otherwise.

All validation findings are printed to stderr at once, each with its
location in the file, and the program exits with code 78. Unknown keys are
findings. If a key is given twice, the last value is used. Keys without a
default are required, unless the object that they belong to is optional
and absent.
"""
SECTIONS = (
    ("entry_settings", "hemlocktiller-entry"),
    ("agent_settings", "hemlocktiller-agent"),
    ("operator_settings", "hemlocktiller"),
    ("config", "Plans and allowances"),
)
TABLE_HEADER = "| key | type | default | meaning |\n|---|---|---|---|\n"
BOUNDS = {
    "minimum": "at least {}",
    "exclusiveMinimum": "over {}",
    "maximum": "at most {}",
    "minLength": "{} characters or more",
    "maxLength": "{} characters or fewer",
    "pattern": "`{}`",
}


def _resolve_reference(schema, definitions):
    """Returns the definition that a schema refers to, or the schema."""
    if "$ref" in schema:
        return definitions[schema["$ref"].rsplit("/", 1)[1]]
    return schema


def _type_text(schema):
    """Returns the text for type and bounds of a field."""
    type_text = schema["type"]
    if type_text == "array" and "type" in schema["items"]:
        type_text = f"list of {schema['items']['type']}"
    bounds = [
        text.format(schema[key])
        for key, text in BOUNDS.items()
        if key in schema and (key, schema[key]) != ("minimum", 0)
    ]
    return ", ".join([type_text, *bounds])


def _default_text(schema, required):
    """Returns the default of a field, or `required` or `optional`."""
    if "default" in schema:
        return f"`{json.dumps(schema['default'])}`"
    return "required" if required else "optional"


def _table_rows(schema, definitions, prefix=""):
    """Yields the table rows of the fields of an object, recursively."""
    for key, field in schema["properties"].items():
        field = _resolve_reference(field, definitions)
        name = prefix + key
        required = key in schema["required"]
        items = _resolve_reference(field.get("items", {}), definitions)
        is_object = "properties" in field
        type_text = "object" if is_object else _type_text(field)
        if "properties" in items:
            type_text = "list of objects"
        cells = [f"`{name}`", type_text, _default_text(field, required)]
        yield f"| {' | '.join([*cells, field['description']])} |\n"
        if is_object:
            yield from _table_rows(field, definitions, f"{name}.")
        elif "properties" in items:
            yield from _table_rows(items, definitions, f"{name}[].")


def _section(name, title):
    """Returns the section of the page for one schema."""
    schema = json.loads((SCHEMA_DIR / f"{name}.json").read_text())
    rows = "".join(_table_rows(schema, schema.get("$defs", {})))
    parts = [f"\n## {title}\n\n{schema['description']}\n"]
    if "oneOf" in schema:
        names = [f"`{item['required'][0]}`" for item in schema["oneOf"]]
        parts.append(f"Exactly one of {' and '.join(names)} is given.\n")
    return "".join([*parts, "\n", TABLE_HEADER, rows])


def main(arguments):
    """Writes or checks the page; returns the exit code."""
    text = PAGE_HEADER + "".join(_section(*section) for section in SECTIONS)
    if "--check" not in arguments:
        PAGE.write_text(text)
        return 0
    if PAGE.exists() and PAGE.read_text() == text:
        return 0
    print("docs/SETTINGS.md is stale: run python schema/settings_doc.py")
    return 1


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
