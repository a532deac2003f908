"""Half of the chains are killed at once while streams run."""

import pytest

from benchmarks import half_fleet

CHAIN_COUNT = 4
STAGES_PER_CHAIN = 2
REQUEST_COUNT = 24
SEED = 1
MAX_ATTEMPTS_PER_REQUEST = 4  # The limit in the settings of the entries


@pytest.fixture
def outcome(deployment):
    """The result of killing half of the chains under load."""
    half_fleet.start_deployment(deployment, CHAIN_COUNT, STAGES_PER_CHAIN)
    return half_fleet.kill_half_under_load(
        deployment, CHAIN_COUNT, REQUEST_COUNT, SEED
    )


def test_all_requests_complete_without_a_retry_storm(outcome):
    assert outcome.wrong_answers == []
    assert [
        exchange for exchange in outcome.exchanges if not exchange.whole
    ] == []
    assert (
        max(outcome.attempts_by_request.values()) <= MAX_ATTEMPTS_PER_REQUEST
    )
    assert sum(outcome.attempts_by_request.values()) <= 2 * REQUEST_COUNT
    wasted_tokens = outcome.ran_tokens - outcome.delivered_tokens
    assert wasted_tokens <= 0.05 * outcome.ran_tokens
