"""Generates docs/METRICS.md from the metrics that the modules define.

Run without arguments to write the page, or with `--check` to compare the
committed page with a newly generated one.
"""

import importlib
from pathlib import Path
import pkgutil
import sys

import prometheus_client

from hemlocktiller import _internal

PAGE = Path(__file__).parents[1] / "docs" / "METRICS.md"
PREFIX = "hemlocktiller_"
PAGE_HEADER = """# Metrics

Generated from the code by `python schema/metrics_doc.py`; don't edit.

Each process serves its metrics at `GET /metrics` on its admin port. For
the metrics to watch and alert on see
[OPERATORS.md](OPERATORS.md#what-to-watch).

| metric | type | labels | meaning |
|---|---|---|---|
"""


def _import_all():
    """Imports all modules of the package, which registers their metrics."""
    prefix = f"{_internal.__name__}."
    for module in pkgutil.walk_packages(_internal.__path__, prefix):
        importlib.import_module(module.name)


def _project_metrics():
    """Returns the registered metrics of this project, sorted by name."""
    collectors = prometheus_client.REGISTRY._collector_to_names
    return sorted(
        (
            collector
            for collector in collectors
            if getattr(collector, "_name", "").startswith(PREFIX)
        ),
        key=lambda collector: collector._name,
    )


def _table_row(metric):
    """Returns the table row of one metric."""
    suffix = "_total" if metric._type == "counter" else ""
    labels = ", ".join(f"`{label}`" for label in metric._labelnames)
    meaning = metric._documentation.rstrip(".")
    return (
        f"| `{metric._name}{suffix}` | {metric._type} | {labels} |"
        f" {meaning} |\n"
    )


def main(arguments):
    """Writes or checks the page; returns the exit code."""
    _import_all()
    text = PAGE_HEADER + "".join(map(_table_row, _project_metrics()))
    if "--check" not in arguments:
        PAGE.write_text(text)
        return 0
    if PAGE.exists() and PAGE.read_text() == text:
        return 0
    print("docs/METRICS.md is stale: run python schema/metrics_doc.py")
    return 1


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
