"""The steps of an edge's orderly end, also when its stop signal was handled late."""

from __future__ import annotations

import asyncio
import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from arrowfold.dataplane.end_schedule import (
    MIN_ANSWERING_S,
    MIN_LISTENING_S,
    SHUTDOWN_MARGIN_S,
    plan_end,
)
from arrowfold.dataplane.node import EdgeNode
from arrowfold.node.logs import RateLimitedLog
from arrowfold.node.settings import parse_settings
from tests.system.least_loaded_selector import LeastLoadedSelector
from tests.system.test_settings import SETTINGS
from tests.system.virtual_time import run_virtual

GRACE_S = 8.0
LATEST_EXEMPT_SEND_S = 3.0  # after the signal; what is sent later must not be cut by the end of the process
SAMPLE_S = 0.05
TOLERANCE_S = 1e-6


# Guards against LOST: a process whose stop signal came while it was loading admits requests, long after the
# signal, that it can't answer before its end.
@pytest.mark.parametrize("elapsed_s", [0.0, 1.0, 2.0, 2.31, 2.9, 5.0, 9.0])
def test_given_a_signal_that_was_handled_late_then_no_late_request_is_admitted_beyond_the_end(
    elapsed_s: float,
) -> None:
    async def scenario() -> None:
        settings = parse_settings(SETTINGS, "boot.toml").unwrap()
        node = EdgeNode(settings, LeastLoadedSelector(random.Random(1)), RateLimitedLog("edge"))
        loop = asyncio.get_running_loop()
        began_s = loop.time()
        stopping = asyncio.create_task(node.stop(elapsed_s))
        for _ in range(round(GRACE_S / SAMPLE_S)):
            await asyncio.sleep(SAMPLE_S)
            since_signal_s = elapsed_s + loop.time() - began_s
            if since_signal_s > LATEST_EXEMPT_SEND_S:
                admits = node._process_end.admits(loop.time() + 60)
                assert not admits, f"{since_signal_s:.2f} s after the signal"
        await stopping

    run_virtual(scenario())


@given(grace_s=st.floats(0.5, 60), elapsed_s=st.floats(0, 60))
def test_given_any_delay_of_the_signal_then_the_end_keeps_to_the_grace_time(
    grace_s: float, elapsed_s: float
) -> None:
    schedule = plan_end(grace_s, elapsed_s)
    assert 0 <= schedule.admits_any_until_s <= schedule.ends_s
    assert schedule.listener_closes_s >= MIN_LISTENING_S
    assert schedule.ends_s - schedule.listener_closes_s >= MIN_ANSWERING_S - TOLERANCE_S
    shortest_s = schedule.listener_closes_s + MIN_ANSWERING_S
    is_on_time = elapsed_s + schedule.ends_s <= grace_s - SHUTDOWN_MARGIN_S + TOLERANCE_S
    assert is_on_time or schedule.ends_s == shortest_s
