"""Changes of the configuration as log entries: patches lead every member to the same bytes."""

from __future__ import annotations

import json

from hypothesis import given, settings
from hypothesis import strategies as st

from arrowfold.configuration.documents import ConfigurationDocument
from arrowfold.configuration.validity import parse_configuration
from arrowfold.controlplane.changes import _step
from arrowfold.controlplane.distribution import configuration_updates
from arrowfold.internal.codec import decode, encode
from arrowfold.internal.messages import ConfigurationDelta, ConfigurationUpdate
from arrowfold.replication.state import ControlState, apply_entry, patched_document
from tests.system.control_simulation.history import document


def _many(version: int, names: list[str]) -> ConfigurationDocument:
    value = json.loads(document(version, "first"))
    base = value["routes"][0]
    value["routes"] += [{**base, "name": name, "pathPrefix": f"/{name}/"} for name in names]
    return parse_configuration(json.dumps(value).encode()).unwrap()


_names = st.lists(st.sampled_from([f"r{number}" for number in range(30)]), unique=True, max_size=30)


@settings(max_examples=60, deadline=None)
@given(st.lists(_names, min_size=1, max_size=6))
def test_given_any_changes_then_entries_lead_to_the_document_itself(lists: list[list[str]]) -> None:
    state = ControlState()
    current: ConfigurationDocument | None = None
    for version, names in enumerate(lists, start=1):
        new = _many(version, names)
        entry = _step(state.configuration, current, new, str(version).encode())
        state = apply_entry(state, decode(encode(entry)))
        assert state.configuration == new.to_json()
        assert state.configuration_version == version
        current = new


def test_given_a_small_change_of_a_large_document_then_the_entry_is_a_patch() -> None:
    names = [f"r{number}" for number in range(300)]
    first, second = _many(1, names), _many(2, names[1:])
    entry = _step(first.to_json(), first, second, b"d")
    assert entry.document is None
    assert len(encode(entry)) < len(second.to_json()) / 20


def test_given_a_puller_that_holds_the_base_then_it_gets_steps_else_the_whole() -> None:
    names = [f"r{number}" for number in range(50)]
    documents = [_many(version, names[version:]) for version in range(1, 5)]
    state = ControlState()
    current: ConfigurationDocument | None = None
    for new in documents:
        state = apply_entry(state, _step(state.configuration, current, new, bytes([new.version])))
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
