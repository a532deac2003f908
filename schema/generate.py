"""Generates the modules of `_internal/schemas` from the JSON schemas.

Run without arguments to write the modules, or with `--check` to compare the
committed modules with newly generated ones.
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
    """Returns the source of a module with the TypedDicts of a schema."""
    with tempfile.TemporaryDirectory() as folder:
        output_path = Path(folder) / "module.py"
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
            str(output_path),
        ]
        subprocess.run(command, check=True)
        return output_path.read_text()


def _inline_references(schema, definitions):
    """Returns a schema with references inlined, without descriptions."""
    if isinstance(schema, list):
        return [_inline_references(item, definitions) for item in schema]
    if not isinstance(schema, dict):
        return schema
    if "$ref" in schema:
        name = schema["$ref"].rsplit("/", 1)[1]
        return _inline_references(definitions[name], definitions)
    return {
        key: _inline_references(value, definitions)
        for key, value in schema.items()
        if key not in ("description", BYTES_KEYWORD)
    }


def _bytes_paths(schema, definitions, path=()):
    """Yields the path of each bytes field; `*` stands for any item."""
    if "$ref" in schema:
        schema = definitions[schema["$ref"].rsplit("/", 1)[1]]
    if schema.get(BYTES_KEYWORD):
        yield path
    for name, field in schema.get("properties", {}).items():
        yield from _bytes_paths(field, definitions, (*path, name))
    if "items" in schema:
        yield from _bytes_paths(schema["items"], definitions, (*path, "*"))


def _message_definitions(document):
    """Yields type and schema of each message."""
    for schema in document["$defs"].values():
        message_type = schema["properties"].get("type", {}).get("const")
        if message_type is not None:
            yield message_type, schema


def _checks_module(document):
    """Returns the source of the module with all message validators."""
    definitions = document["$defs"]
    parts = ['"""Checkers of the link messages, by message type."""\n']
    check_functions = []
    bytes_paths_by_type = {}
    for message_type, schema in _message_definitions(document):
        code = fastjsonschema.compile_to_code(
            _inline_references(schema, definitions), use_default=False
        )
        code = code.split("\n", 1)[1]
        name = f"check_{message_type}"
        parts.append(code.replace("def validate(", f"def {name}("))
        check_functions.append((message_type, name))
        bytes_paths_by_type[message_type] = list(
            _bytes_paths(schema, definitions)
        )
    table = "".join(
        f"    {kind!r}: {name},\n" for kind, name in check_functions
    )
    parts.append(f"CHECKS = {{\n{table}}}\n")
    rows = "".join(
        f"    {kind!r}: {row!r},\n"
        for kind, row in bytes_paths_by_type.items()
    )
    parts.append(f"BYTES_PATHS = {{\n{rows}}}\n")
    return "\n".join(parts)


def _generate_files():
    """Returns the text of each generated file, by file name."""
    messages = json.loads((SCHEMA_DIR / "messages.json").read_text())
    generated_files = {
        "__init__.py": "",
        "messages.py": _typed_module(SCHEMA_DIR / "messages.json"),
        "message_checks.py": _checks_module(messages),
    }
    for name in DOCUMENT_SCHEMAS:
        path = SCHEMA_DIR / f"{name}.json"
        generated_files[f"{name}.py"] = _typed_module(path)
        generated_files[f"{name}.json"] = path.read_text()
    return generated_files


def _find_stale_files(generated_files):
    """Returns the names of committed files that are missing or outdated."""
    return [
        name
        for name, text in generated_files.items()
        if not (OUTPUT_DIR / name).exists()
        or (OUTPUT_DIR / name).read_text() != text
    ]


def main(arguments):
    """Writes or checks the generated files; returns the exit code."""
    generated_files = _generate_files()
    if "--check" in arguments:
        stale_files = _find_stale_files(generated_files)
        for name in stale_files:
            print(f"schemas/{name} is stale: run python schema/generate.py")
        return 1 if stale_files else 0
    OUTPUT_DIR.mkdir(exist_ok=True)
    for name, text in generated_files.items():
        (OUTPUT_DIR / name).write_text(text)
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
