import pytest
from twisted.internet import task

from hemlocktiller._internal.entry import registrations
from hemlocktiller._internal.entry import targets

RECORD = {"target": "t0", "vm": "vm-t0", "data_centre": "dc1"}


class Targets:
    """The targets that an entry knows."""

    def __init__(self, target):
        self.by_name = {target.name: target}


class Fleet:
    """One registered target whose VM and link the test sets."""

    def __init__(self, platform):
        self.platform = platform
        self.store = platform.store("entry")
        platform.result(self.store.create("target", "t0", RECORD))
        self.clock = task.Clock()
        self.holds = True
        self.target = targets.Target(RECORD)
        self.registrations = registrations.RegistrationCleaner(
            self.store,
            {"data_centre": "dc1"},
            Targets(self.target),
            lambda: self.holds,
            self.clock,
        )
        self.registrations.start()

    def run(self, duration_s):
        """Lets time pass."""
        for _ in range(round(duration_s / registrations.CHECK_INTERVAL_S)):
            self.clock.advance(registrations.CHECK_INTERVAL_S)
            self.platform.run(1.0)

    def is_registered(self):
        """Tells whether the registration is there."""
        return (
            self.platform.result(self.store.read("target", "t0")) is not None
        )


@pytest.fixture
def fleet(platform):
    return Fleet(platform)


def test_a_target_whose_vm_is_gone_for_long_is_removed(fleet):
    fleet.registrations.on_vms({})
    fleet.run(registrations.VM_MISSING_TIMEOUT_S)
    assert fleet.is_registered()
    fleet.run(30)
    assert not fleet.is_registered()


def test_a_target_on_a_listed_vm_stays(fleet):
    fleet.registrations.on_vms({"vm-t0": None})
    fleet.run(300)
    assert fleet.is_registered()


def test_without_a_vm_list_nothing_is_removed(fleet):
    fleet.run(300)
    assert fleet.is_registered()


def test_without_the_lease_nothing_is_removed(fleet):
    fleet.holds = False
    fleet.registrations.on_vms({})
    fleet.run(300)
    assert fleet.is_registered()


def test_a_vm_that_comes_back_starts_the_wait_again(fleet):
    fleet.registrations.on_vms({})
    fleet.run(50)
    fleet.registrations.on_vms({"vm-t0": None})
    fleet.run(20)
    fleet.registrations.on_vms({})
    fleet.run(50)
    assert fleet.is_registered()
