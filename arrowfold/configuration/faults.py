"""Reasons for refusing a configuration or a change to it."""

from __future__ import annotations

from dataclasses import dataclass

from arrowfold.node.result_codes import ResultCode

_STATUS_BY_CODE = {
    ResultCode.CONFIGURATION_VERSION_CONFLICT: 412,
    ResultCode.CONFIGURATION_TOO_LARGE: 413,
}
_DEFAULT_STATUS = 400


@dataclass(frozen=True, slots=True)
class ConfigurationFault:
    """A result code, the path in the document (`routes[3].targetService`, or empty) and one line of text.

    Path and text never quote a tenant's API key, nor a value that may be one by an operator's mistake.
    """

    code: ResultCode
    path: str
    text: str

    def __str__(self) -> str:
        place = f"{self.path}: " if self.path else ""
        return f"{int(self.code)} {self.code.name}: {place}{self.text}"


def fault_status(fault: ConfigurationFault) -> int:
    """Returns the HTTP status of the answer to an operator's call with this fault."""
    return _STATUS_BY_CODE.get(fault.code, _DEFAULT_STATUS)
