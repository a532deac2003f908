import json

import pytest

from hemlocktiller._internal import documents
from hemlocktiller._internal import findings
from hemlocktiller._internal import settings

SECRET = "a secret of the links"


def _write(path, document):
    path.write_text("// Settings.\n" + json.dumps(document))
    return path


@pytest.fixture
def entry_document():
    address = {"host": "127.0.0.1", "port": 0}
    return {
        "name": "entry-1",
        "data_centre": "dc-1",
        "admin": address,
        "callers": address,
        "store": {"url": "http://127.0.0.1:1"},
        "links": {"secret": SECRET},
    }


@pytest.fixture
def agent_document(entry_document):
    agent = dict(entry_document, link=entry_document["callers"])
    del agent["callers"]
    agent["engine"] = {"url": "http://127.0.0.1:2"}
    return agent


def _sentences(path, schema_name="entry_settings"):
    result = settings.load(path, schema_name)
    return [findings.format_finding(finding) for finding in result.error]


def test_defaults_are_filled_in_at_every_depth(tmp_path, entry_document):
    entry_document["links"]["silence_timeout_s"] = 9
    path = _write(tmp_path / "entry.json", entry_document)
    loaded = settings.load(path, "entry_settings").ok
    assert loaded["links"]["silence_timeout_s"] == 9
    assert loaded["links"]["heartbeat_interval_s"] == 0.5
    assert loaded["limits"]["body_bytes"] == 1048576
    assert loaded["retries"]["attempts"] == 4
    assert loaded["drain"]["timeout_s"] == 120.0
    assert loaded["vm"] == ""


def test_an_absent_object_with_required_fields_stays_absent(
    tmp_path, agent_document
):
    path = _write(tmp_path / "agent.json", agent_document)
    loaded = settings.load(path, "agent_settings").ok
    assert "service" not in loaded
    assert loaded["engine"]["batch_sequences"] == 64


def test_defaults_are_not_shared(tmp_path, agent_document):
    del agent_document["engine"]
    agent_document["service"] = {"name": "b", "url": "http://127.0.0.1:2"}
    path = _write(tmp_path / "agent.json", agent_document)
    first = settings.load(path, "agent_settings").ok
    first["service"]["repeatable_methods"].append("POST")
    second = settings.load(path, "agent_settings").ok
    assert second["service"]["repeatable_methods"] == ["GET", "HEAD"]


def test_every_finding_comes_at_once_with_its_place(tmp_path, entry_document):
    del entry_document["store"]
    entry_document["links"] = {"secret": "short", "silence_timeouts": 1}
    entry_document["admin"] = {"host": 3, "port": 65536}
    entry_document["trace_sample_ratio"] = 1.5
    path = _write(tmp_path / "entry.json", entry_document)
    assert sorted(_sentences(path)) == [
        "admin.host: must be a string",
        "admin.port: must be at most 65535",
        "links.secret: must have at least 16 characters",
        "links.silence_timeouts: is not a known key; "
        "did you mean 'silence_timeout_s'?",
        "store: is missing",
        "trace_sample_ratio: must be at most 1",
    ]


def test_findings_do_not_repeat_a_secret(tmp_path, entry_document):
    entry_document["links"]["secret"] = "hidden"
    path = _write(tmp_path / "entry.json", entry_document)
    assert "hidden" not in "".join(_sentences(path))


@pytest.mark.parametrize("names", [(), ("engine", "service")])
def test_an_agent_serves_an_engine_or_a_service(
    tmp_path, agent_document, names
):
    del agent_document["engine"]
    for name in names:
        agent_document[name] = {"url": "http://127.0.0.1:2"}
    if "service" in names:
        agent_document["service"]["name"] = "bookings"
    path = _write(tmp_path / "agent.json", agent_document)
    assert _sentences(path, "agent_settings") == [
        "must have exactly one of 'engine', 'service'"
    ]


@pytest.mark.parametrize("number", ["NaN", "Infinity", "-Infinity"])
def test_a_number_that_is_not_finite_is_a_finding(tmp_path, number):
    path = tmp_path / "operator.json"
    path.write_text(
        f"{{store: {{url: 'http://127.0.0.1:1'}}, timeout_s: {number}}}"
    )
    assert "timeout_s: must be a finite number" in _sentences(
        path, "operator_settings"
    )


def test_a_syntax_error_is_given_with_its_line():
    found = documents.parse('{\n  "a": 1,\n  "b": ]\n}').error
    assert found[0].place.startswith("line 3, column ")


@pytest.mark.parametrize(
    ("content", "message"),
    [
        (b"", "is not JSON with comments"),
        (b"\xff\xfe", "is not UTF-8 text"),
        (b"[" * 100, "is not JSON with comments"),
        (b"[]", "must be an object"),
    ],
)
def test_other_bad_files_are_findings(tmp_path, content, message):
    path = tmp_path / "entry.json"
    path.write_bytes(content)
    assert message in "".join(_sentences(path))


def test_an_absent_file_is_a_finding(tmp_path):
    assert _sentences(tmp_path / "none.json") == [
        "can't be read: No such file or directory"
    ]


def test_bad_settings_end_the_program(tmp_path, capsys):
    path = _write(tmp_path / "entry.json", {"nam": "entry-1"})
    with pytest.raises(SystemExit) as caught:
        settings.load_or_exit(path, "entry_settings")
    assert caught.value.code == settings.EXIT_BAD_SETTINGS
    lines = capsys.readouterr().err.splitlines()
    assert f"{path}: nam: is not a known key; did you mean 'name'?" in lines
    assert len(lines) == 7
