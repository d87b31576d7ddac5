from __future__ import annotations

from sycamorestand_entry.control.choice import ControlChoice

START = ("a:1", "b:1", "c:1")


def addresses(choice: ControlChoice) -> list[str]:
    """Return where the entry goes if each one stays silent."""
    found: list[str] = []
    while choice.address not in found:
        found.append(choice.address)
        choice.move_on()
    return found


class TestControlChoice:
    def test_every_voter_was_replaced(self) -> None:
        """The three VMs that an entry was started with are gone for good.

        They were replaced one after the other. The entry goes from one
        voter of now to the next, and to the old addresses only then.
        """
        choice = ControlChoice(START)
        assert choice.learn(("d:1", "b:1", "c:1"))
        assert choice.learn(("e:1", "d:1", "c:1"))
        assert choice.learn(("f:1", "e:1", "d:1"))
        assert addresses(choice) == ["f:1", "e:1", "d:1", *START]

    def test_a_silent_one_is_not_gone_back_to(self) -> None:
        """The nearest voter is silent, and the next one tells of it.

        Without the safeguard the entry went back to it with each list and
        had no lease for most of the time.
        """
        choice = ControlChoice(START)
        choice.learn(START)
        choice.move_on()
        assert not choice.learn(("a:1", "c:1", "b:1"))
        assert choice.address == "b:1"

    def test_it_attaches_to_the_nearest(self) -> None:
        choice = ControlChoice(START)
        assert choice.learn(("c:1", "a:1", "b:1"))
        assert choice.address == "c:1"

    def test_nothing_learned(self) -> None:
        choice = ControlChoice(START)
        assert not choice.learn(())
        assert addresses(choice) == list(START)
