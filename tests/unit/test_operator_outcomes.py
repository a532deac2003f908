import pytest
from twisted.internet import defer

from hemlocktiller._internal import exceptions
from hemlocktiller._internal.cli import operator
from hemlocktiller._internal.cli.subcommands import command_context
from hemlocktiller._internal.cli.subcommands import exit_codes


class ClosingStore:
    """A store client that can only be closed."""

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
def test_errors_of_the_store_have_their_exit_codes(error, code):
    async def running():
        raise error("the reason")

    context = command_context.CommandContext({}, None, ClosingStore(), None)
    with pytest.raises(SystemExit) as caught:
        operator._run_and_exit(running(), context).send(None)
    assert caught.value.code == code


def test_every_exit_code_has_its_meaning():
    assert set(exit_codes.MEANINGS) == set(exit_codes.ExitCode)
