"""A data centre is emptied and taken back as a part of the configuration."""

from __future__ import annotations

from sycamorestand_state.commands import ANY_REVISION
from sycamorestand_state.commands import DrainDataCentre
from sycamorestand_state.commands import UndrainDataCentre
from sycamorestand_state.configuration import ConfigurationMachine
from sycamorestand_state.data_centres import MAX_DRAINING
from sycamorestand_state.results import ChangeResult

from .configurations import Cluster
from .configurations import declare


class DataCentres(Cluster):
    """A cluster whose operators empty data centres."""

    def drain(self, name: str) -> ChangeResult:
        change_id = f"drain-{next(self.ids)}"
        return self.run(
            DrainDataCentre(change_id, "ann", ANY_REVISION, name, "", 2.0)
        )

    def undrain(self, name: str) -> ChangeResult:
        change_id = f"undrain-{next(self.ids)}"
        return self.run(
            UndrainDataCentre(change_id, "ann", ANY_REVISION, name, "", 3.0)
        )

    @property
    def draining(self) -> tuple[str, ...]:
        return self.machine.in_force().draining_data_centres


class TestDrain:
    def test_order_is_in_force_and_outlives_a_snapshot(self) -> None:
        """A process that restarts forgot which data centres are empty."""
        cluster = DataCentres()
        assert cluster.drain("dalton").outcome == "applied"
        restored = ConfigurationMachine()
        restored.restore(cluster.machine.snapshot())
        assert restored.in_force().draining_data_centres == ("dalton",)

    def test_declarations_leave_it_alone(self) -> None:
        """A new configuration sent work to an emptied data centre."""
        cluster = DataCentres()
        cluster.drain("dalton")
        assert cluster.declare(declare()).outcome == "applied"
        assert cluster.draining == ("dalton",)

    def test_repeats_change_nothing(self) -> None:
        cluster = DataCentres()
        cluster.drain("dalton")
        revision = cluster.machine.revision
        assert cluster.drain("dalton").outcome == "unchanged"
        assert cluster.machine.revision == revision

    def test_several_drain_at_once(self) -> None:
        cluster = DataCentres()
        for name in ("marietta", "dalton", "gainesville"):
            assert cluster.drain(name).outcome == "applied"
        cluster.undrain("dalton")
        assert cluster.draining == ("gainesville", "marietta")

    def test_names_are_bounded(self) -> None:
        """Made-up names filled every push of the configuration."""
        cluster = DataCentres()
        assert cluster.drain("").outcome == "refused"
        assert cluster.drain("x" * 129).outcome == "refused"
        outcomes = [
            cluster.drain(f"dc-{number}").outcome
            for number in range(MAX_DRAINING + 1)
        ]
        assert outcomes == ["applied"] * MAX_DRAINING + ["refused"]

    def test_audit_trail_names_the_data_centre(self) -> None:
        cluster = DataCentres()
        cluster.drain("dalton")
        (entry,) = cluster.machine.audit(1, 9)
        assert entry.kind == "DrainDataCentre"
        assert (entry.subject, entry.operator) == ("dalton", "ann")


class TestUndrain:
    def test_it_ends_the_order(self) -> None:
        cluster = DataCentres()
        cluster.drain("dalton")
        assert cluster.undrain("dalton").outcome == "applied"
        assert cluster.draining == ()

    def test_without_an_order_nothing_changes(self) -> None:
        cluster = DataCentres()
        revision = cluster.machine.revision
        assert cluster.undrain("dalton").outcome == "unchanged"
        assert cluster.machine.revision == revision
