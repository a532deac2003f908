import importlib
from pathlib import Path
import pkgutil
import re

import prometheus_client

import hemlocktiller

PAGE = Path(__file__).parents[2] / "docs" / "METRICS.md"
PREFIX = "hemlocktiller_"


def defined_metrics():
    modules = pkgutil.walk_packages(
        hemlocktiller.__path__, f"{hemlocktiller.__name__}."
    )
    for module in modules:
        importlib.import_module(module.name)
    return {
        metric.name
        for metric in prometheus_client.REGISTRY.collect()
        if metric.name.startswith(PREFIX)
    }


def test_the_page_explains_each_metric_and_no_other():
    named = set(re.findall(rf"`({PREFIX}[a-z_]+)`", PAGE.read_text()))
    assert named == defined_metrics()
