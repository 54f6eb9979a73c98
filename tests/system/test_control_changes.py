"""Configuration changes as log entries: patches yield the same bytes on every member."""

from __future__ import annotations

import json
from dataclasses import replace

from hypothesis import given, settings
from hypothesis import strategies as st

from arrowfold.configuration.changes import change_digest
from arrowfold.configuration.documents import ConfigurationDocument
from arrowfold.configuration.json_text import write_canonical
from arrowfold.configuration.validity import parse_configuration
from arrowfold.controlplane.changes import (
    MAX_DOCUMENT_BYTES,
    UNAVAILABLE,
    ConfigurationService,
    _log_entry,
)
from arrowfold.controlplane.distribution import configuration_updates
from arrowfold.controlplane.http_interface import MAX_BODY_BYTES
from arrowfold.internal.channel import MAX_FRAME_BYTES
from arrowfold.internal.codec import decode, encode
from arrowfold.internal.messages import ConfigurationDelta, ConfigurationUpdate, SubmitChange, SubmitResult
from arrowfold.node.result_codes import ResultCode
from arrowfold.replication.messages import StateImage
from arrowfold.replication.proposals import Proposal
from arrowfold.replication.state import (
    REMEMBERED_CHANGES,
    REMEMBERED_DEPARTURES,
    ControlState,
    Departure,
    apply_entry,
    patched_document,
)
from tests.system.control_simulation.history import document


def _document_with_routes(version: int, names: list[str]) -> ConfigurationDocument:
    value = json.loads(document(version, "first"))
    base = value["routes"][0]
    value["routes"] += [{**base, "name": name, "pathPrefix": f"/{name}/"} for name in names]
    return parse_configuration(json.dumps(value).encode()).unwrap()


_names = st.lists(st.sampled_from([f"r{number}" for number in range(30)]), unique=True, max_size=30)


@settings(max_examples=60, deadline=None)
@given(st.lists(_names, min_size=1, max_size=6))
def test_given_any_changes_then_entries_yield_the_document_itself(lists: list[list[str]]) -> None:
    state = ControlState()
    current: ConfigurationDocument | None = None
    for version, names in enumerate(lists, start=1):
        new = _document_with_routes(version, names)
        entry = _log_entry(state.configuration, current, new, str(version).encode())
        state = apply_entry(state, decode(encode(entry)))
        assert state.configuration == new.to_json()
        assert state.configuration_version == version
        current = new


def test_given_a_small_change_of_a_large_document_then_the_entry_is_a_patch() -> None:
    names = [f"r{number}" for number in range(300)]
    first, second = _document_with_routes(1, names), _document_with_routes(2, names[1:])
    entry = _log_entry(first.to_json(), first, second, b"d")
    assert entry.document is None
    assert len(encode(entry)) < len(second.to_json()) / 20


def test_given_a_puller_that_holds_the_base_then_it_gets_deltas_else_the_document() -> None:
    names = [f"r{number}" for number in range(50)]
    documents = [_document_with_routes(version, names[version:]) for version in range(1, 5)]
    state = ControlState()
    current: ConfigurationDocument | None = None
    for new in documents:
        state = apply_entry(state, _log_entry(state.configuration, current, new, bytes([new.version])))
        current = new
    assert isinstance(configuration_updates(state, 0)[0], ConfigurationUpdate)
    for since in (1, 2, 3):
        steps = configuration_updates(state, since)
        text = documents[since - 1].to_json()
        assert steps and all(isinstance(step, ConfigurationDelta) for step in steps)
        for step in steps:
            assert isinstance(step, ConfigurationDelta)
            text = patched_document(text, step.patch)
        assert text == state.configuration
    assert configuration_updates(state, 4) == ()


class _NoLog:
    def info(self, event: str, **fields: object) -> None:
        """Discards the event."""

    warning = info


def _decide(state: ControlState, change: SubmitChange) -> Proposal[SubmitResult]:
    """Returns the decision of a primary on this state."""
    service = ConfigurationService(None, None, _NoLog())  # type: ignore[arg-type]
    digest = change_digest(change.kind, change.if_match, change.body)
    return service._decide(state, change, digest)


# Guards against refusing every change because the committed configuration, which was valid in an earlier
# release, is invalid now.
def test_given_a_committed_configuration_that_is_invalid_today_then_the_next_change_is_accepted() -> None:
    value = json.loads(document(7, "old"))
    value["tenants"] = [{"name": "a", "apiKeys": ["k"]}, {"name": "b", "apiKeys": ["k"]}]
    committed = ControlState(1, write_canonical(value), 7, 1)
    whole = SubmitChange("PUT", "7", document(9, "new"))
    patch = SubmitChange("PATCH", "7", b'{"version":9,"remove":{"tenants":["b"]}}')
    for change in (whole, patch):
        proposal = _decide(committed, change)
        assert proposal.answer.status == 200
        assert proposal.entry is not None
        assert apply_entry(committed, proposal.entry).configuration_version == 9
    assert _decide(committed, SubmitChange("PATCH", "7", b'{"version":9}')).answer.status == 400


def _long_document(version: int, size: int) -> bytes:
    value = json.loads(document(version, "long"))
    value["note"] = "x" * size
    return json.dumps(value).encode()


def test_given_a_document_beyond_the_limit_then_it_is_refused_and_not_stored() -> None:
    change = SubmitChange("PUT", "0", _long_document(1, MAX_DOCUMENT_BYTES))
    proposal = _decide(ControlState(), change)
    assert proposal.answer.status == 413
    assert json.loads(proposal.answer.body)["code"] == ResultCode.CONFIGURATION_TOO_LARGE
    assert proposal.entry is None
    # And one whose characters take more bytes as stored than as sent
    multibyte = _long_document(1, 0).replace(b'"note": ""', '"note": "{}"'.format("é" * 800_000).encode())
    assert len(multibyte) < MAX_BODY_BYTES
    assert _decide(ControlState(), SubmitChange("PUT", "0", multibyte)).answer.status == 413


# Guards against acknowledging a configuration that fits in no frame to an edge.
def test_given_short_keys_whose_digests_are_beyond_the_limit_then_it_is_refused() -> None:
    value = json.loads(document(1, "many"))
    value["tenants"] = [{"name": "a", "apiKeys": [f"{number:x}" for number in range(70_000)]}]
    body = json.dumps(value).encode()
    assert len(body) < MAX_DOCUMENT_BYTES / 4
    assert _decide(ControlState(), SubmitChange("PUT", "0", body)).answer.status == 413


def test_given_the_largest_state_then_it_and_the_largest_call_fit_in_one_frame() -> None:
    largest = ControlState(
        sequence=10**9,
        configuration=b"x" * MAX_DOCUMENT_BYTES,
        accepted={number.to_bytes(32, "big"): number for number in range(REMEMBERED_CHANGES)},
        departures={
            f"instance-{number:040d}": Departure(10**9, "draining", 1e6)
            for number in range(REMEMBERED_DEPARTURES)
        },
    )
    assert len(encode(StateImage(1, 1, 1, largest))) < MAX_FRAME_BYTES * 3 // 4
    assert len(encode(SubmitChange("PATCH", "7", b"x" * MAX_BODY_BYTES))) < MAX_FRAME_BYTES * 9 // 10


def _after_many_changes(number: int) -> ControlState:
    remembered = range(number - REMEMBERED_CHANGES + 1, number + 1)
    return replace(
        ControlState(),
        configuration=_document_with_routes(number, []).to_json(),
        configuration_version=number,
        accepted={version.to_bytes(32, "big"): version for version in remembered},
    )


def test_given_more_changes_than_are_remembered_then_a_repeated_older_one_is_never_refused() -> None:
    state = _after_many_changes(5000)
    # When a change is repeated whose digest may have been dropped
    old = _decide(state, SubmitChange("PUT", "100", document(101, "old")))
    # Then the answer leaves the outcome open, since it may have been accepted
    assert old.answer.status == UNAVAILABLE
    assert old.entry is None
    # But a change that conflicts with a remembered one is refused
    conflicting = _decide(state, SubmitChange("PUT", "4990", document(4991, "lost")))
    assert conflicting.answer.status == 412
