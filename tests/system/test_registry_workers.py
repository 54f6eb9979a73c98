"""Worker registry: late calls, moves between control nodes, heartbeat timeouts, and convergence."""

from __future__ import annotations

from dataclasses import replace

from hypothesis import given, settings
from hypothesis import strategies as st

from arrowfold.internal.messages import WorkerRecord
from arrowfold.registry.workers import AVAILABLE, SILENT, WorkerRegistry

HEARTBEAT_INTERVAL_S = 1.0


class _Clock:
    def __init__(self) -> None:
        self.now = 100.0

    def __call__(self) -> float:
        return self.now


def _record(instance: str, call: int, state: str = AVAILABLE) -> WorkerRecord:
    return WorkerRecord(instance, "s", "10.0.0.1:1", "z", "v1", 4, state, call_sequence=call)


def _exchange(receiver: WorkerRegistry, sender: WorkerRegistry) -> bool:
    return receiver.merge(sender.missing(receiver.vector()), sender.vector())


def test_given_ordinary_heartbeats_then_only_the_first_makes_a_record() -> None:
    registry = WorkerRegistry("a.1", _Clock(), HEARTBEAT_INTERVAL_S)
    assert registry.apply_call(_record("i", 1))
    assert not registry.apply_call(_record("i", 2))
    assert registry.vector() == {"a.1": 1}
    assert registry.records()["i"].call_sequence == 2


def test_given_a_late_call_then_it_has_no_effect() -> None:
    registry = WorkerRegistry("a.1", _Clock(), HEARTBEAT_INTERVAL_S)
    registry.apply_call(_record("i", 5, "draining"))
    assert not registry.apply_call(_record("i", 4))
    assert registry.records()["i"].state == "draining"


def test_given_a_worker_that_moves_then_its_new_node_is_responsible_for_it() -> None:
    clock = _Clock()
    first, second = (
        WorkerRegistry("a.1", clock, HEARTBEAT_INTERVAL_S),
        WorkerRegistry("b.1", clock, HEARTBEAT_INTERVAL_S),
    )
    first.apply_call(_record("i", 1))
    _exchange(second, first)
    assert second.apply_call(_record("i", 2))
    _exchange(first, second)
    clock.now += 10.0
    first.sweep(lambda origin: True)
    clock.now += 0.1
    assert not first.sweep(lambda origin: True)
    assert first.records()["i"].state == AVAILABLE


def test_given_a_silent_worker_then_it_is_marked_and_a_newer_heartbeat_reverts_it() -> None:
    clock = _Clock()
    registry = WorkerRegistry("a.1", clock, HEARTBEAT_INTERVAL_S)
    registry.apply_call(_record("i", 1))
    for _ in range(8):
        clock.now += 0.5
        registry.sweep(lambda origin: True)
    assert registry.records()["i"].state == SILENT
    assert registry.apply_call(_record("i", 2))
    assert registry.records()["i"].state == AVAILABLE


def test_given_a_pause_of_this_process_then_no_worker_is_marked_silent() -> None:
    clock = _Clock()
    registry = WorkerRegistry("a.1", clock, HEARTBEAT_INTERVAL_S)
    registry.apply_call(_record("i", 1))
    registry.sweep(lambda origin: True)
    clock.now += 30.0
    assert not registry.sweep(lambda origin: True)
    clock.now += 0.5
    assert not registry.sweep(lambda origin: True)
    assert registry.records()["i"].state == AVAILABLE


def test_given_an_origin_that_is_not_live_then_another_node_marks_its_silent_workers() -> None:
    clock = _Clock()
    first, second = (
        WorkerRegistry("a.1", clock, HEARTBEAT_INTERVAL_S),
        WorkerRegistry("b.1", clock, HEARTBEAT_INTERVAL_S),
    )
    first.apply_call(_record("i", 1))
    _exchange(second, first)
    for _ in range(8):
        clock.now += 0.5
        assert not second.sweep(lambda origin: True)
    clock.now += 0.5
    assert second.sweep(lambda origin: False)
    assert second.records()["i"].state == SILENT


def test_given_a_worker_marked_silent_elsewhere_then_the_node_with_its_heartbeats_corrects_it() -> None:
    clock = _Clock()
    first, second = (
        WorkerRegistry("a.1", clock, HEARTBEAT_INTERVAL_S),
        WorkerRegistry("b.1", clock, HEARTBEAT_INTERVAL_S),
    )
    first.apply_call(_record("i", 1))
    _exchange(second, first)
    first.apply_call(_record("i", 2))  # an ordinary heartbeat, which is not distributed to the other node
    for _ in range(9):
        clock.now += 0.5
        second.sweep(lambda origin: False)
    assert second.records()["i"].state == SILENT
    _exchange(first, second)
    _exchange(second, first)
    assert second.records()["i"].state == AVAILABLE


def test_given_a_draining_worker_that_times_out_then_it_is_permanently_gone() -> None:
    clock = _Clock()
    registry = WorkerRegistry("a.1", clock, HEARTBEAT_INTERVAL_S)
    registry.apply_call(_record("i", 1, "draining"))
    for _ in range(20):
        clock.now += 0.5
        registry.sweep(lambda origin: True)
    assert registry.records()["i"].state == "draining"  # it may still be processing its last requests
    for _ in range(12):
        clock.now += 0.5
        registry.sweep(lambda origin: True)
    assert registry.records()["i"].state == "gone"
    assert not registry.apply_call(_record("i", 2))


def test_given_a_committed_departure_then_it_is_distributed() -> None:
    first, second = (
        WorkerRegistry("a.1", _Clock(), HEARTBEAT_INTERVAL_S),
        WorkerRegistry("b.1", _Clock(), HEARTBEAT_INTERVAL_S),
    )
    first.apply_call(_record("i", 3, "draining"))
    _exchange(second, first)
    assert second.apply_departure("i")
    assert not second.apply_departure("i")
    _exchange(first, second)
    assert first.records()["i"].state == "gone"


_events = st.lists(
    st.tuples(
        st.sampled_from(["beat", "drain", "exchange", "wait"]),
        st.integers(0, 2),  # the node
        st.integers(0, 2),  # the worker, or the other node
    ),
    max_size=40,
)


@settings(max_examples=200, deadline=None)
@given(_events)
def test_given_any_heartbeats_and_exchanges_then_all_nodes_converge(
    events: list[tuple[str, int, int]],
) -> None:
    clock = _Clock()
    nodes = [WorkerRegistry(f"{name}.1", clock, HEARTBEAT_INTERVAL_S) for name in "abc"]
    calls = [0, 0, 0]
    drained: set[int] = set()
    for kind, node, other in events:
        if kind in ("beat", "drain"):
            calls[other] += 1
            drained |= {other} if kind == "drain" else set()
            state = "draining" if other in drained else AVAILABLE
            nodes[node].apply_call(_record(f"i{other}", calls[other], state))
        elif kind == "exchange" and node != other:
            _exchange(nodes[node], nodes[other])
        else:
            clock.now += 0.5
            nodes[node].sweep(lambda origin: True)
    for _ in range(4):
        for receiver in nodes:
            for sender in nodes:
                if receiver is not sender:
                    _exchange(receiver, sender)
    views = [
        {key: replace(record, call_sequence=0, cold_left_ms=0.0) for key, record in node.records().items()}
        for node in nodes
    ]
    assert views[0] == views[1] == views[2]
    for worker in drained:
        assert views[0][f"i{worker}"].state in ("draining", "gone")
