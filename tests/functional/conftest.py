"""Fixtures of the functional tests."""

import pytest

from tests.functional import harness


@pytest.fixture
def deployment(tmp_path):
    """A deployment with a platform and a configuration, else empty."""
    deployment = harness.Deployment(tmp_path)
    try:
        deployment.put_config(harness.config())
        yield deployment
    finally:
        deployment.stop()
