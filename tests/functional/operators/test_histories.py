from concurrent import futures

from hemlocktiller._internal.cli.operators.exits import ExitCode
from hemlocktiller._internal.config import snapshot

OPERATOR_COUNT = 4
EDITS_PER_OPERATOR = 2
MOST_ATTEMPTS = 40


def _names(document):
    return {
        workspace["workspace"]
        for plan in document["plans"]
        for workspace in plan["workspaces"]
    }


def _add(operators, name):
    """Adds a workspace by get and apply; returns its version."""
    file_name = f"{name}.json"

    def change(document):
        digest = snapshot.key_digest(name)
        document["plans"][0]["workspaces"].append(
            {"workspace": name, "key_digest": digest}
        )

    for _ in range(MOST_ATTEMPTS):
        operators.run("get", file_name, "--force")
        operators.edit(file_name, change)
        run = operators.run("apply", file_name, "--json")
        if run.code == ExitCode.DONE:
            return run.json()["version"]
        assert run.code == ExitCode.LOST_RACE, run
    raise AssertionError(f"{name} lost {MOST_ATTEMPTS} races")


def _edits_of(operators, number):
    names = [f"added-{number}-{edit}" for edit in range(EDITS_PER_OPERATOR)]
    return [(name, _add(operators, name)) for name in names]


def test_racing_operators_lose_no_accepted_edit(configured):
    configured.set_faults(lose_replies=3)
    with futures.ThreadPoolExecutor(OPERATOR_COUNT) as pool:
        numbers = range(OPERATOR_COUNT)
        runs = list(pool.map(lambda n: _edits_of(configured, n), numbers))
    accepted = {name: version for run in runs for name, version in run}
    assert len(accepted) == OPERATOR_COUNT * EDITS_PER_OPERATOR
    writes = configured.config_writes()
    versions = [write["version"] for write in writes]
    assert versions == sorted(set(versions))
    assert sorted(accepted.values()) == versions[1:]
    before = set()
    for write in writes:
        names = _names(write["value"]["data"])
        expected = {n for n, v in accepted.items() if v == write["version"]}
        assert names - before == expected or write is writes[0]
        assert names >= before
        before = names
