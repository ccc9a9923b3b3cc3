"""Shared fixtures: deterministic hypothesis and whole systems in-process."""

import hypothesis
import pytest

from tests import system as system_module

hypothesis.settings.register_profile(
    "ci",
    derandomize=True,
    deadline=None,
    database=None,
    suppress_health_check=list(hypothesis.HealthCheck),
)
hypothesis.settings.load_profile("ci")


@pytest.fixture(scope="module")
def system():
    """A healthy system with two instances, shared by a module's tests."""
    with system_module.System() as running:
        running.apply()
        yield running
