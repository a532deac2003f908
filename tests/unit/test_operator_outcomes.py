import pytest
from twisted.internet import defer

from hemlocktiller._internal import exceptions
from hemlocktiller._internal.cli import operator
from hemlocktiller._internal.cli.operators import exits
from hemlocktiller._internal.cli.operators import session


class ClosingStore:
    """A store client that can only be closed."""

    def close(self):
        """Does nothing."""
        return defer.succeed(None)


@pytest.mark.parametrize(
    ("error", "code"),
    [
        (exceptions.StoreUnavailable, exits.ExitCode.STORE_UNAVAILABLE),
        (exceptions.WriteUnknown, exits.ExitCode.OUTCOME_UNKNOWN),
        (exceptions.StoreError, exits.ExitCode.FAULT),
    ],
)
def test_errors_of_the_store_have_their_exit_codes(error, code):
    async def running():
        raise error("the reason")

    context = session.Session({}, None, ClosingStore(), None)
    with pytest.raises(SystemExit) as caught:
        operator._exit_with(running(), context).send(None)
    assert caught.value.code == code


def test_every_exit_code_has_its_meaning():
    assert set(exits.MEANINGS) == set(exits.ExitCode)
