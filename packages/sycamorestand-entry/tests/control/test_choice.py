from __future__ import annotations

from sycamorestand_entry.control.control_choice import ControlChoice

START = ("a:1", "b:1", "c:1")


def addresses_in_turn(choice: ControlChoice) -> list[str]:
    """Return the addresses that the entry tries if none answers."""
    found: list[str] = []
    while choice.address not in found:
        found.append(choice.address)
        choice.select_next()
    return found


class TestControlChoice:
    def test_current_voters_precede_the_initial_addresses(self) -> None:
        """All three VMs in an entry's settings were replaced in turn.

        The entry tries the current voters first and the initial addresses
        after them.
        """
        choice = ControlChoice(START)
        assert choice.update_voters(("d:1", "b:1", "c:1"))
        assert choice.update_voters(("e:1", "d:1", "c:1"))
        assert choice.update_voters(("f:1", "e:1", "d:1"))
        assert addresses_in_turn(choice) == ["f:1", "e:1", "d:1", *START]

    def test_same_voters_do_not_move_the_entry_back(self) -> None:
        """The nearest voter is silent, and the next one lists it.

        If each list moved the entry back to the nearest voter, the entry
        would have no lease for most of the time.
        """
        choice = ControlChoice(START)
        choice.update_voters(START)
        choice.select_next()
        assert not choice.update_voters(("a:1", "c:1", "b:1"))
        assert choice.address == "b:1"

    def test_new_voters_move_the_entry_to_the_nearest(self) -> None:
        choice = ControlChoice(START)
        assert choice.update_voters(("c:1", "a:1", "b:1"))
        assert choice.address == "c:1"

    def test_empty_list_of_voters_changes_nothing(self) -> None:
        choice = ControlChoice(START)
        assert not choice.update_voters(())
        assert addresses_in_turn(choice) == list(START)
