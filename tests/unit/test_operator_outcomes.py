import pytest
from twisted.internet import defer

from hemlocktiller._internal import exceptions
from hemlocktiller._internal.cli import operator
from hemlocktiller._internal.cli.subcommands import command_context
from hemlocktiller._internal.cli.subcommands import exit_codes


class FakeStoreClient:
    """A store client that only supports being closed."""

    def close(self):
        """Does nothing."""
        return defer.succeed(None)


@pytest.mark.parametrize(
    ("error", "code"),
    [
        (exceptions.StoreUnavailable, exit_codes.ExitCode.STORE_UNAVAILABLE),
        (exceptions.WriteOutcomeUnknown, exit_codes.ExitCode.OUTCOME_UNKNOWN),
        (exceptions.StoreError, exit_codes.ExitCode.INTERNAL_ERROR),
    ],
)
def test_store_errors_map_to_exit_codes(error, code):
    async def failing_command():
        raise error("the reason")

    context = command_context.CommandContext({}, None, FakeStoreClient(), None)
    with pytest.raises(SystemExit) as exit_info:
        operator._run_and_exit(failing_command(), context).send(None)
    assert exit_info.value.code == code


def test_every_exit_code_has_a_description():
    assert set(exit_codes.MEANINGS) == set(exit_codes.ExitCode)
