"""`apply` against a store that leaves single calls without an answer."""

import copy
import json

import pytest
from twisted.internet import defer
from twisted.internet import task

from hemlocktiller._internal import exceptions
from hemlocktiller._internal.cli.subcommands import apply
from hemlocktiller._internal.cli.subcommands import command_context
from hemlocktiller._internal.cli.subcommands import config_versions
from hemlocktiller._internal.cli.subcommands import exit_codes
from hemlocktiller._internal.store import client
from hemlocktiller._internal.store import objects
from hemlocktiller._internal.store import transport
from tests.fakes import memory
from tests.unit.config.conftest import DOCUMENT

ALWAYS = range(1000)
# Long enough for the pauses between the reads of a store that is down.
PAUSE_STEP_S = 0.1
PAUSE_STEPS = 200


class RacingStore:
    """Transport to a store in which another operator wins the race.

    The other operator's write replaces version 1 right after the first read
    that was answered.

    Attributes:
        methods: Methods of the calls so far.
    """

    def __init__(self, unanswered):
        self.methods = []
        self._unanswered = unanswered
        self._version = 1
        self._value = self._envelope(DOCUMENT, 0)

    def call(self, method, segments, query=None, **options):
        """Answers a call, unless its number is one of the unanswered."""
        number = len(self.methods)
        self.methods.append(method)
        if number in self._unanswered:
            return defer.fail(exceptions.WriteOutcomeUnknown("no reply"))
        if method == "PUT":
            return defer.succeed(transport.Reply(412, {"version": 2}))
        body = {"name": "main", "version": self._version, "value": self._value}
        self._version = 2
        self._value = self._envelope(edited_document(1, 0.3), 1)
        return defer.succeed(transport.Reply(200, body))

    def _envelope(self, document, base_version):
        return json.loads(
            objects.encode_envelope(document, "other", "n", base_version)
        )


def edited_document(plan_index, share):
    document = copy.deepcopy(DOCUMENT)
    document["plans"][plan_index]["share"] = share
    return document


@pytest.fixture
def apply_edit(tmp_path):
    """Returns a function that applies an edit of version 1 to a store."""

    def run(store_transport):
        path = tmp_path / "edit.json"
        path.write_text(json.dumps(edited_document(0, 0.5)))
        config_versions.write_base(
            path, config_versions.ConfigVersion(1, DOCUMENT)
        )
        clock = task.Clock()
        store = client.ObjectStore(
            memory.STORE_SETTINGS,
            "operator-1",
            clock,
            custom_transport=store_transport,
        )
        context = command_context.CommandContext({}, clock, store, None)
        results = []
        defer.Deferred.fromCoroutine(
            apply.run(apply.Apply(path), context)
        ).addBoth(results.append)
        clock.pump([PAUSE_STEP_S] * PAUSE_STEPS)
        return results[0]

    return run


@pytest.mark.parametrize("unanswered", [(), (0,), (1,), (2,), (3,)])
def test_a_lost_race_is_reported_if_one_call_is_not_answered(
    apply_edit, capsys, unanswered
):
    assert apply_edit(RacingStore(unanswered)) == exit_codes.ExitCode.LOST_RACE
    output = capsys.readouterr()
    assert "nothing was written" in output.err
    assert "theirs, against version 1:" in output.out


def test_a_lost_race_is_reported_if_the_store_fails_after_it(
    apply_edit, capsys
):
    store_transport = RacingStore(ALWAYS[2:])
    assert apply_edit(store_transport) == exit_codes.ExitCode.LOST_RACE
    output = capsys.readouterr()
    assert "nothing was written" in output.err
    assert "could not be read" in output.err
    assert "mine, against version 1:" in output.out


def test_an_outage_from_the_start_is_reported_after_few_reads(apply_edit):
    store_transport = RacingStore(ALWAYS)
    result = apply_edit(store_transport)
    assert result.check(exceptions.StoreUnavailable)
    assert store_transport.methods == (["GET"] * config_versions.READ_ATTEMPTS)
