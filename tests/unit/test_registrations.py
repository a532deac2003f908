"""Tests of the removal of registrations of targets whose VM is gone."""

import pytest
from twisted.internet import task

from hemlocktiller._internal.entry import registrations
from hemlocktiller._internal.entry import targets

RECORD = {"target": "t0", "vm": "vm-t0", "data_centre": "dc1"}


class StubTargets:
    """Stub of the targets that an entry tracks, with one target."""

    def __init__(self, target):
        self.by_name = {target.name: target}


class RegisteredTarget:
    """A registered target and the cleaner that removes its registration.

    Attributes:
        holds_lease: Whether the process holds the lease of the cleaner.
    """

    def __init__(self, platform):
        self.platform = platform
        self.store = platform.store("entry")
        platform.result(self.store.create("target", "t0", RECORD))
        self.clock = task.Clock()
        self.holds_lease = True
        self.target = targets.Target(RECORD)
        self.registrations = registrations.RegistrationCleaner(
            self.store,
            {"data_centre": "dc1"},
            StubTargets(self.target),
            lambda: self.holds_lease,
            self.clock,
        )
        self.registrations.start()

    def run(self, duration_s):
        """Advances the time in steps of the check interval."""
        for _ in range(round(duration_s / registrations.CHECK_INTERVAL_S)):
            self.clock.advance(registrations.CHECK_INTERVAL_S)
            self.platform.run(1.0)

    def is_registered(self):
        """Returns whether the registration is in the store."""
        return (
            self.platform.result(self.store.read("target", "t0")) is not None
        )


@pytest.fixture
def registered_target(platform):
    return RegisteredTarget(platform)


def test_target_is_removed_once_its_vm_is_missing_for_the_timeout(
    registered_target,
):
    registered_target.registrations.on_vms({})
    registered_target.run(registrations.VM_MISSING_TIMEOUT_S)
    assert registered_target.is_registered()
    registered_target.run(30)
    assert not registered_target.is_registered()


def test_target_on_a_listed_vm_is_kept(registered_target):
    registered_target.registrations.on_vms({"vm-t0": None})
    registered_target.run(300)
    assert registered_target.is_registered()


def test_without_a_vm_list_nothing_is_removed(registered_target):
    registered_target.run(300)
    assert registered_target.is_registered()


def test_without_the_lease_nothing_is_removed(registered_target):
    registered_target.holds_lease = False
    registered_target.registrations.on_vms({})
    registered_target.run(300)
    assert registered_target.is_registered()


def test_vm_that_reappears_restarts_the_timeout(registered_target):
    registered_target.registrations.on_vms({})
    registered_target.run(50)
    registered_target.registrations.on_vms({"vm-t0": None})
    registered_target.run(20)
    registered_target.registrations.on_vms({})
    registered_target.run(50)
    assert registered_target.is_registered()
