"""Deployments as fixtures of the functional tests."""

import pytest

from tests.functional import harness


@pytest.fixture
def deployment(tmp_path):
    """A deployment with only the platform fake and a configuration."""
    deployment = harness.Deployment(tmp_path)
    try:
        deployment.put_config(harness.config())
        yield deployment
    finally:
        deployment.stop()


@pytest.fixture(scope="module")
def whole_path(tmp_path_factory):
    """A ready deployment with targets of both kinds, shared by a module.

    It has two chains of two stages, two booking services and one entry.
    """
    deployment = harness.Deployment(tmp_path_factory.mktemp("whole"))
    try:
        deployment.put_config(harness.config())
        harness.start_chains(deployment)
        harness.start_bookings(deployment)
        deployment.start_entry("e0")
        deployment.wait_ready()
        yield deployment
    finally:
        deployment.stop()
