from __future__ import annotations

import anyio
import pytest

from sycamorestand_control.errors import CallerLeft
from sycamorestand_control.errors import TurnTimeout
from sycamorestand_control.order_turns import OrderTurns
from sycamorestand_control.wait_limit import WaitLimit

pytestmark = pytest.mark.anyio
MEMORY_BYTES = 2**28


class TestTurns:
    """Guards against orders at once that exceed the memory and conflict."""

    async def test_one_order_at_a_time_is_worked_on(self) -> None:
        turns = OrderTurns(MEMORY_BYTES)
        at_once = most_at_once = most_waiting = 0

        async def work() -> None:
            nonlocal at_once, most_at_once, most_waiting
            async with turns.turn():
                at_once += 1
                most_at_once = max(most_at_once, at_once)
                await anyio.sleep(0)
                most_waiting = max(most_waiting, turns.waiting)
                at_once -= 1

        async with anyio.create_task_group() as tasks:
            for _ in range(8):
                tasks.start_soon(work)
        assert (most_at_once, most_waiting, turns.waiting) == (1, 7, 0)

    async def test_order_whose_caller_has_left_is_dropped(self) -> None:
        turns = OrderTurns(MEMORY_BYTES)

        async def has_left() -> bool:
            return True

        with pytest.raises(CallerLeft):
            async with turns.turn(has_left):
                pytest.fail("worked on")
        async with turns.turn():
            assert turns.waiting == 0

    async def test_order_that_waits_too_long_is_refused(self) -> None:
        """It waited for as long as the orders before it did."""
        turns = OrderTurns(MEMORY_BYTES)
        has_given_up = anyio.Event()
        waits = WaitLimit(limit_s=0.01)

        async def give_up() -> None:
            with pytest.raises(TurnTimeout, match="another order"):
                async with turns.turn(waits=waits):
                    pytest.fail("two at once")
            has_given_up.set()

        async with anyio.create_task_group() as tasks, turns.turn():
            tasks.start_soon(give_up)
            await has_given_up.wait()
        assert waits.left_s < 0.01
        assert turns.waiting == 0
        async with turns.turn(waits=WaitLimit(limit_s=0.01)):
            assert turns.waiting == 0

    async def test_cancelled_order_leaves_its_turn_to_the_next(self) -> None:
        turns = OrderTurns(MEMORY_BYTES)
        has_given_up = anyio.Event()

        async def give_up() -> None:
            with anyio.move_on_after(0):
                async with turns.turn():
                    pytest.fail("two at once")
            has_given_up.set()

        async with anyio.create_task_group() as tasks, turns.turn():
            tasks.start_soon(give_up)
            await has_given_up.wait()
        async with turns.turn():
            assert turns.waiting == 0


class TestRoom:
    def test_bodies_have_a_share_of_the_memory(self) -> None:
        assert OrderTurns(MEMORY_BYTES).room.limit_bytes == 16 * 2**20

    def test_largest_body_finds_room_in_any_process(self) -> None:
        assert OrderTurns(0).room.limit_bytes == 8 * 2**20
