"""Generates the typed modules of `_internal/schemas` from the schemas.

Run without arguments to write the modules, with `--check` to compare the
committed modules with what the schemas give.
"""

import json
from pathlib import Path
import subprocess
import sys
import tempfile

import fastjsonschema

SCHEMA_DIR = Path(__file__).parent
OUTPUT_DIR = (
    SCHEMA_DIR.parent / "src" / "hemlocktiller" / "_internal" / "schemas"
)
DOCUMENT_SCHEMAS = (
    "agent_settings",
    "config",
    "entry_settings",
    "operator_settings",
)
BYTES_KEYWORD = "x-bytes"


def _typed_module(schema_path):
    """Returns the source of the TypedDicts of one schema."""
    with tempfile.TemporaryDirectory() as folder:
        output = Path(folder) / "module.py"
        command = [
            sys.executable,
            "-W",
            "ignore",
            "-m",
            "datamodel_code_generator",
            "--input",
            str(schema_path),
            "--input-file-type",
            "jsonschema",
            "--output-model-type",
            "typing.TypedDict",
            "--target-python-version",
            "3.11",
            "--use-title-as-name",
            "--use-schema-description",
            "--disable-timestamp",
            "--output",
            str(output),
        ]
        subprocess.run(command, check=True)
        return output.read_text()


def _inlined(schema, definitions):
    """Returns a schema with each reference replaced by its definition."""
    if isinstance(schema, list):
        return [_inlined(item, definitions) for item in schema]
    if not isinstance(schema, dict):
        return schema
    if "$ref" in schema:
        name = schema["$ref"].rsplit("/", 1)[1]
        return _inlined(definitions[name], definitions)
    return {
        key: _inlined(value, definitions)
        for key, value in schema.items()
        if key not in ("description", BYTES_KEYWORD)
    }


def _bytes_paths(schema, definitions, path=()):
    """Yields the path of each field that holds bytes; `*` is any item."""
    if "$ref" in schema:
        schema = definitions[schema["$ref"].rsplit("/", 1)[1]]
    if schema.get(BYTES_KEYWORD):
        yield path
    for name, field in schema.get("properties", {}).items():
        yield from _bytes_paths(field, definitions, (*path, name))
    if "items" in schema:
        yield from _bytes_paths(schema["items"], definitions, (*path, "*"))


def _message_definitions(document):
    """Yields the type and the schema of each message."""
    for schema in document["$defs"].values():
        message_type = schema["properties"].get("type", {}).get("const")
        if message_type is not None:
            yield message_type, schema


def _checks_module(document):
    """Returns the source of the checkers of all messages."""
    definitions = document["$defs"]
    parts = ['"""Checkers of the link messages, by message type."""\n']
    functions = []
    paths = {}
    for message_type, schema in _message_definitions(document):
        code = fastjsonschema.compile_to_code(
            _inlined(schema, definitions), use_default=False
        )
        code = code.split("\n", 1)[1]
        name = f"check_{message_type}"
        parts.append(code.replace("def validate(", f"def {name}("))
        functions.append((message_type, name))
        paths[message_type] = list(_bytes_paths(schema, definitions))
    table = "".join(f"    {kind!r}: {name},\n" for kind, name in functions)
    parts.append(f"CHECKS = {{\n{table}}}\n")
    rows = "".join(f"    {kind!r}: {row!r},\n" for kind, row in paths.items())
    parts.append(f"BYTES_PATHS = {{\n{rows}}}\n")
    return "\n".join(parts)


def _outputs():
    """Returns the generated files as a map from name to text."""
    messages = json.loads((SCHEMA_DIR / "messages.json").read_text())
    outputs = {
        "__init__.py": "",
        "messages.py": _typed_module(SCHEMA_DIR / "messages.json"),
        "message_checks.py": _checks_module(messages),
    }
    for name in DOCUMENT_SCHEMAS:
        path = SCHEMA_DIR / f"{name}.json"
        outputs[f"{name}.py"] = _typed_module(path)
        outputs[f"{name}.json"] = path.read_text()
    return outputs


def _stale(outputs):
    """Returns the names of the committed files that differ."""
    return [
        name
        for name, text in outputs.items()
        if not (OUTPUT_DIR / name).exists()
        or (OUTPUT_DIR / name).read_text() != text
    ]


def main(arguments):
    """Writes or checks the generated modules; returns the exit code."""
    outputs = _outputs()
    if "--check" in arguments:
        stale = _stale(outputs)
        for name in stale:
            print(f"schemas/{name} is stale: run python schema/generate.py")
        return 1 if stale else 0
    OUTPUT_DIR.mkdir(exist_ok=True)
    for name, text in outputs.items():
        (OUTPUT_DIR / name).write_text(text)
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
