"""Fixtures shared by the tests of the configuration."""

import copy

import pytest

from hemlocktiller._internal.config import snapshot

DOCUMENT = {
    "plans": [
        {
            "plan": "gold",
            "share": 0.6,
            "worth": 3,
            "deadline_s": 20,
            "limits": {"requests_per_s": 7},
            "workspaces": [
                {
                    "workspace": "w-1",
                    "key_digest": snapshot.key_digest("key-1"),
                },
                {
                    "workspace": "w-2",
                    "key_digest": snapshot.key_digest("key-2"),
                },
            ],
        },
        {
            "plan": "basic",
            "share": 0.4,
            "worth": 1,
            "deadline_s": 60,
            "workspaces": [
                {
                    "workspace": "w-3",
                    "key_digest": snapshot.key_digest("key-3"),
                }
            ],
        },
    ],
    "allowances": [
        {
            "plan": "gold",
            "models": ["draft"],
            "services": ["bookings"],
            "data_centres": ["dc-1"],
            "accelerator_kinds": ["a", "b"],
        },
        {"plan": "basic", "models": ["draft"], "services": []},
    ],
}


@pytest.fixture
def config_document():
    """Returns a copy of a valid configuration that a test may modify."""
    return copy.deepcopy(DOCUMENT)
