"""Which services an entry reaches at no server."""

from __future__ import annotations

from random import Random

import pytest

from sycamorestand_bench.fakes.control_port import FakeControlPort
from sycamorestand_bench.fakes.control_port import FakeLedger
from sycamorestand_bench.fakes.declared import guild_configuration
from sycamorestand_decisions.server_loss import ServerLoss
from sycamorestand_entry.servers import Servers
from sycamorestand_model.backend_servers import Announcement

MODELS = ("small", "middle", "large")
FAILURES = 20


class TestReach:
    @pytest.mark.parametrize("seed", range(30))
    def test_list_of_services_agrees_with_each_service(
        self, seed: int
    ) -> None:
        """Callers were sent away from an entry that serves, or to one cut off.

        The list that control gets is found in another way than the answer
        for one target.
        """
        random = Random(seed)
        control = FakeControlPort(guild_configuration(), FakeLedger())
        loss = ServerLoss()
        servers = Servers(control, random, loss)
        for number in range(random.randint(1, 8)):
            held = random.sample(MODELS, random.randint(1, 2))
            name = f"s-{number}"
            versions = tuple(f"{model}@1" for model in held)
            control.servers[name] = Announcement(
                name, "engine", f"10.0.0.{number}:80", "a", 1, 1, versions
            )
            if random.random() < 0.6:
                loss.record_refused_dial(f"10.0.0.{number}:80")
            if random.random() < 0.3:
                fail(servers, name, held)
        unreached = servers.unreached_services(1.0)
        assert unreached == {
            model
            for model in MODELS
            if servers.is_unreached(f"{model}@1", 1.0)
        }


def fail(servers: Servers, name: str, models: list[str]) -> None:
    """Let requests fail at the server, which may eject it."""
    for model in models:
        for _ in range(FAILURES):
            servers.record_start(model, name, 1.0)
            servers.record_finish(model, name, 1.0, 0.1, "error")
