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
DEPLOYMENTS = ("aloktara", "tuvshin")
UNIT_PATHS = sorted((EXAMPLES / "units").glob("*.service"))
KEY_ROW = re.compile(r"^\| (\S+) \| (\S+) \| `(\S+)` \|$", re.MULTILINE)


def _schema_name(path):
    return f"{path.stem.partition('-')[0]}_settings"


def _settings_paths():
    return [
        path
        for deployment in DEPLOYMENTS
        for path in sorted((EXAMPLES / deployment).glob("*.json"))
        if path.name != "config.json"
    ]


@pytest.mark.parametrize("path", _settings_paths(), ids=str)
def test_example_settings_have_no_findings(path):
    assert settings.load(path, _schema_name(path)).is_ok()


@pytest.mark.parametrize("deployment", DEPLOYMENTS)
def test_example_configurations_are_accepted_with_ten_workspaces(deployment):
    document = documents.read_file(EXAMPLES / deployment / "config.json").ok
    config_snapshot = check.build_snapshot(1, document).ok
    assert len(config_snapshot.workspaces) == 10
    assert sum(plan["share"] for plan in document["plans"]) == 1


@pytest.mark.parametrize("deployment", DEPLOYMENTS)
def test_documented_api_keys_belong_to_their_workspaces(deployment):
    document = documents.read_file(EXAMPLES / deployment / "config.json").ok
    config_snapshot = snapshot.build(1, document)
    key_rows = KEY_ROW.findall(
        (EXAMPLES / deployment / "README.md").read_text()
    )
    assert len(key_rows) == len(config_snapshot.workspaces)
    for workspace, plan, key in key_rows:
        view = snapshot.workspace_of_key(config_snapshot, key)
        assert (view.workspace, view.plan["plan"]) == (workspace, plan)


@pytest.mark.parametrize("deployment", DEPLOYMENTS)
def test_allowances_cover_the_services_and_accelerators_of_agents(deployment):
    document = documents.read_file(EXAMPLES / deployment / "config.json").ok
    agents = (EXAMPLES / deployment).glob("agent-*.json")
    all_agent_settings = [
        settings.load(path, "agent_settings").ok for path in agents
    ]
    services = {
        agent_settings["service"]["name"]
        for agent_settings in all_agent_settings
        if "service" in agent_settings
    }
    for allowance in document["allowances"]:
        assert set(allowance["services"]) == services
    accelerator_kinds = {
        agent_settings["accelerator_kind"]
        for agent_settings in all_agent_settings
    } - {""}
    for allowance in document["allowances"]:
        assert accelerator_kinds & set(
            allowance.get("accelerator_kinds", accelerator_kinds)
        )


@pytest.mark.parametrize("path", UNIT_PATHS, ids=str)
def test_systemd_units_stop_only_after_the_drain_timeout(path):
    unit = configparser.ConfigParser()
    unit.optionxform = str
    unit.read(path)
    service = unit["Service"]
    assert service["ExecStart"].split()[0].endswith(f"/{path.stem}")
    assert service["RestartPreventExitStatus"] == str(
        settings.EXIT_BAD_SETTINGS
    )
    for settings_path in _settings_paths():
        loaded = settings.load(settings_path, _schema_name(settings_path)).ok
        if "drain" in loaded:
            drain_s = loaded["drain"]["timeout_s"]
            assert int(service["TimeoutStopSec"]) > drain_s
