import configparser
from pathlib import Path
import re

import pytest

from hemlocktiller._internal import documents
from hemlocktiller._internal import settings
from hemlocktiller._internal.config import check
from hemlocktiller._internal.config import snapshot

ROOT = Path(__file__).parents[2]
EXAMPLES = ROOT / "examples"
FIRMS = ("aloktara", "tuvshin")
UNITS = sorted((EXAMPLES / "units").glob("*.service"))
KEY_ROW = re.compile(r"^\| (\S+) \| (\S+) \| `(\S+)` \|$", re.MULTILINE)


def _schema_of(path):
    return f"{path.stem.partition('-')[0]}_settings"


def _settings_files():
    return [
        path
        for firm in FIRMS
        for path in sorted((EXAMPLES / firm).glob("*.json"))
        if path.name != "config.json"
    ]


@pytest.mark.parametrize("path", _settings_files(), ids=str)
def test_example_settings_have_no_findings(path):
    assert settings.load(path, _schema_of(path)).is_ok()


@pytest.mark.parametrize("firm", FIRMS)
def test_example_configurations_are_of_todays_size(firm):
    document = documents.read_file(EXAMPLES / firm / "config.json").ok
    accepted = check.build_snapshot(1, document).ok
    assert len(accepted.workspaces) == 10
    assert sum(plan["share"] for plan in document["plans"]) == 1


@pytest.mark.parametrize("firm", FIRMS)
def test_the_documented_keys_open_their_workspaces(firm):
    document = documents.read_file(EXAMPLES / firm / "config.json").ok
    built = snapshot.build(1, document)
    rows = KEY_ROW.findall((EXAMPLES / firm / "README.md").read_text())
    assert len(rows) == len(built.workspaces)
    for workspace, plan, key in rows:
        view = snapshot.workspace_of_key(built, key)
        assert (view.workspace, view.plan["plan"]) == (workspace, plan)


@pytest.mark.parametrize("firm", FIRMS)
def test_services_of_the_examples_are_allowed(firm):
    document = documents.read_file(EXAMPLES / firm / "config.json").ok
    agents = (EXAMPLES / firm).glob("agent-*.json")
    loaded = [settings.load(path, "agent_settings").ok for path in agents]
    services = {
        item["service"]["name"] for item in loaded if "service" in item
    }
    for allowance in document["allowances"]:
        assert set(allowance["services"]) == services
    kinds = {item["accelerator_kind"] for item in loaded} - {""}
    for allowance in document["allowances"]:
        assert kinds & set(allowance.get("accelerator_kinds", kinds))


@pytest.mark.parametrize("path", UNITS, ids=str)
def test_units_leave_time_to_drain(path):
    unit = configparser.ConfigParser()
    unit.optionxform = str
    unit.read(path)
    service = unit["Service"]
    assert service["ExecStart"].split()[0].endswith(f"/{path.stem}")
    assert service["RestartPreventExitStatus"] == str(
        settings.EXIT_BAD_SETTINGS
    )
    for example in _settings_files():
        loaded = settings.load(example, _schema_of(example)).ok
        if "drain" in loaded:
            drain_s = loaded["drain"]["timeout_s"]
            assert int(service["TimeoutStopSec"]) > drain_s
