"""Declarations and commands for the tests of the configuration."""

from __future__ import annotations

from itertools import count
from typing import Any

from sycamorestand_model.declarations import CascadeStep
from sycamorestand_model.declarations import Customer
from sycamorestand_model.declarations import Declarations
from sycamorestand_model.declarations import Model
from sycamorestand_model.declarations import Operator
from sycamorestand_model.declarations import Profile
from sycamorestand_model.declarations import Rollout
from sycamorestand_model.declarations import Version
from sycamorestand_state.commands import ApplyDeclarations
from sycamorestand_state.commands import Command
from sycamorestand_state.commands import CreateCluster
from sycamorestand_state.commands import encode_command
from sycamorestand_state.commands import StartRollout
from sycamorestand_state.commands import Withdraw
from sycamorestand_state.configuration import ConfigurationMachine
from sycamorestand_state.results import ChangeResult

ADMIN = Operator("ann", ("b2$aa$secret-hash",), "admin")


def declare(stable: str = "1", **parts: Any) -> Declarations:
    versions = {
        name: Version("nest", name, 100, 200) for name in ("1", "2", "3")
    }
    declarations = Declarations(
        models={"nest": Model("nest", stable, versions)},
        profiles={"review": Profile("review", (CascadeStep("nest"),), 0.9)},
        customers={
            "guild": Customer("guild", ("b2$bb$h",), ("review",), ("nest",))
        },
        rollouts={"nest": Rollout("nest", "2", (0.1, 0.5, 1.0))},
        operators={"ann": ADMIN},
    )
    return declarations._replace(**parts)


class Cluster:
    """A machine with its log, so that a test can replay the log."""

    def __init__(self) -> None:
        self.machine = ConfigurationMachine()
        self.log: list[bytes] = []
        self.ids = count(1)
        self.run(
            CreateCluster("create", "ann", 1.0, "c", b"key", 1, "b2$aa$x")
        )

    def run(self, command: Command) -> ChangeResult:
        self.log.append(encode_command(command))
        return self.machine.apply(len(self.log), self.log[-1])

    def declare(
        self, declarations: Declarations, now_s: float = 2.0
    ) -> ChangeResult:
        return self.run(
            ApplyDeclarations(
                f"declare-{next(self.ids)}",
                "ann",
                self.machine.revision,
                declarations,
                "",
                now_s,
            )
        )

    def withdraw(self, version: str, base: int | None = None) -> ChangeResult:
        revision = self.machine.revision if base is None else base
        change_id = f"withdraw-{next(self.ids)}"
        return self.run(
            Withdraw(change_id, "bob", revision, version, "bad", 3.0)
        )

    def start(self) -> int:
        self.run(
            StartRollout(
                f"start-{next(self.ids)}",
                "ann",
                self.machine.revision,
                "nest",
                "",
                4.0,
            )
        )
        return self.machine.revision


__all__ = ["ADMIN", "Cluster", "declare"]
