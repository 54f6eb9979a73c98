"""Reads and changes of the configuration by the operator.

The primary decides on them and commits them; every other member forwards them to the primary.
"""

from __future__ import annotations

import json
from typing import Any

from result import Err, Ok

from arrowfold.configuration.changes import change_digest, normalize_if_match, prepare_patch, prepare_put
from arrowfold.configuration.diffs import delta
from arrowfold.configuration.documents import ConfigurationDocument
from arrowfold.configuration.faults import ConfigurationFault, fault_status
from arrowfold.configuration.json_text import read_object, write_canonical
from arrowfold.configuration.tenants import without_keys
from arrowfold.controlplane.primary_calls import PrimaryCalls
from arrowfold.internal.messages import ReadConfiguration, SubmitChange, SubmitResult
from arrowfold.node.result_codes import ResultCode
from arrowfold.replication.ports import Caller, EventLog
from arrowfold.replication.proposals import Proposal, ReplicaPort, ReplicationFault
from arrowfold.replication.state import (
    REMEMBERED_CHANGES,
    ConfigurationStep,
    ControlState,
    patched_document,
)

UNAVAILABLE = 503
PUT = "PUT"
MAX_DOCUMENT_BYTES = 4 * 1024 * 1024  # of canonical JSON, so that the whole state fits in one internal frame


def fault_body(code: ResultCode, text: str, path: str = "") -> bytes:
    """Returns the JSON body of an error response."""
    body: dict[str, Any] = {"code": int(code), "error": code.name, "text": text}
    if path:
        body["path"] = path
    return json.dumps(body).encode()


def unavailable_result(code: ResultCode, text: str) -> SubmitResult:
    """Returns a 503 result, upon which the caller retries at another node."""
    return SubmitResult(UNAVAILABLE, fault_body(code, text))


class ConfigurationService:
    """Accepts, acknowledges and reads configurations on any member of the group."""

    def __init__(self, replica: ReplicaPort, caller: Caller, log: EventLog) -> None:
        self._replica = replica
        self._log = log
        self._parsed: tuple[bytes, ConfigurationDocument] | None = None
        self._submissions = PrimaryCalls(replica, caller, self.on_submit, _is_final)
        self._reads = PrimaryCalls(replica, caller, self.on_read, _is_final)

    # On the member that received the call

    async def submit(self, change: SubmitChange) -> SubmitResult:
        """Returns the result of a PUT or PATCH within a second."""
        return await self._submissions.call_primary(change) or _no_answer_result()

    async def read(self) -> SubmitResult:
        """Returns the result of a GET."""
        return await self._reads.call_primary(ReadConfiguration()) or _no_answer_result()

    # On the primary

    async def on_submit(self, change: SubmitChange) -> SubmitResult:
        """Decides on a change, commits it and returns the result."""
        digest = change_digest(change.kind, change.if_match, change.body)
        result = await self._replica.propose(lambda state: self._decide(state, change, digest))
        if isinstance(result, Err):
            self._log.warning("configuration.not_committed", kind=change.kind, reason=str(result.err_value))
            return _not_committed_result(result.err_value)
        return result.ok_value

    async def on_read(self, _: ReadConfiguration) -> SubmitResult:
        """Returns the latest committed configuration, read under the lease of the primary."""
        result = await self._replica.propose(_decide_read)
        return _not_committed_result(result.err_value) if isinstance(result, Err) else result.ok_value

    def _decide(self, state: ControlState, change: SubmitChange, digest: bytes) -> Proposal[SubmitResult]:
        accepted_version = state.accepted.get(digest)
        if accepted_version is not None:
            return Proposal(_accepted_result(accepted_version))
        current = self._parse(state.configuration)
        prepare = prepare_put if change.kind == PUT else prepare_patch
        prepared = prepare(current, change.if_match, change.body)
        if isinstance(prepared, Err):
            self._log.info("configuration.refused", kind=change.kind, reason=str(prepared.err_value))
            is_unknown = may_be_dropped_change(state, change.if_match)
            return Proposal(_outcome_unknown() if is_unknown else _refused(prepared.err_value))
        document = prepared.ok_value
        size_bytes = _largest_size_bytes(document)
        if size_bytes > MAX_DOCUMENT_BYTES:
            return Proposal(_refused(_too_large(size_bytes)))
        self._parsed = (document.to_json(), document)
        self._log.info("configuration.accepted", kind=change.kind, version=document.version)
        return Proposal(
            _accepted_result(document.version), _log_entry(state.configuration, current, document, digest)
        )

    def _parse(self, stored_json: bytes | None) -> ConfigurationDocument | None:
        if stored_json is None:
            return None
        if self._parsed is None or self._parsed[0] != stored_json:
            value = read_object(stored_json)
            assert isinstance(value, Ok)
            self._parsed = (stored_json, ConfigurationDocument.from_committed(value.ok_value))
        return self._parsed[1]


def _log_entry(
    stored_json: bytes | None,
    current: ConfigurationDocument | None,
    document: ConfigurationDocument,
    digest: bytes,
) -> ConfigurationStep:
    """Returns the log entry of a change: a patch if it is shorter and yields exactly the same bytes."""
    document_json = document.to_json()
    if stored_json is None or current is None:
        return ConfigurationStep(document.version, digest, document_json)
    patch = delta(current, document)
    if 2 * len(patch) > len(document_json) or patched_document(stored_json, patch) != document_json:
        return ConfigurationStep(document.version, digest, document_json)
    return ConfigurationStep(document.version, digest, None, patch)


def may_be_dropped_change(state: ControlState, if_match: str | None) -> bool:
    """Returns whether a change of this version may have been accepted and its digest dropped since."""
    base_version = normalize_if_match(if_match) or ""
    if len(state.accepted) < REMEMBERED_CHANGES or not base_version.isdigit():
        return False
    return int(base_version) < min(state.accepted.values())


def _largest_size_bytes(document: ConfigurationDocument) -> int:
    """Returns the larger size in bytes of the stored document and of the one sent to edges.

    The one for edges can be larger, because a key digest is longer than a short key.
    """
    return max(len(document.to_json()), len(write_canonical(without_keys(document.value))))


def _too_large(size_bytes: int) -> ConfigurationFault:
    text = f"{size_bytes} bytes without spaces, as stored or for edges; {MAX_DOCUMENT_BYTES} are the most"
    return ConfigurationFault(ResultCode.CONFIGURATION_TOO_LARGE, "", text)


def _outcome_unknown() -> SubmitResult:
    return unavailable_result(
        ResultCode.CONFIGURATION_VERSION_CONFLICT,
        "too old to tell whether it was taken: read, and build on that",
    )


def _is_final(answer: object) -> bool:
    return isinstance(answer, SubmitResult) and answer.status != UNAVAILABLE


def _no_answer_result() -> SubmitResult:
    return unavailable_result(ResultCode.REPLICATION_TIMEOUT, "no primary acknowledged it in time")


def _decide_read(state: ControlState) -> Proposal[SubmitResult]:
    if state.configuration is None:
        return Proposal(
            SubmitResult(404, fault_body(ResultCode.CONFIGURATION_ABSENT, "no configuration yet"))
        )
    return Proposal(SubmitResult(200, state.configuration))


def _accepted_result(version: int) -> SubmitResult:
    return SubmitResult(200, json.dumps({"version": version}).encode())


def _refused(fault: ConfigurationFault) -> SubmitResult:
    return SubmitResult(fault_status(fault), fault_body(fault.code, fault.text, fault.path))


def _not_committed_result(fault: ReplicationFault) -> SubmitResult:
    return unavailable_result(fault.code, str(fault))
