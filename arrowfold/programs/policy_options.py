"""Loads and validates the policy file: operators' options of selection, placement, data plane and scaling.

The file is TOML with the tables `selection`, `placement.*`, `data_plane` and `scaling`; an option that is
left out has its default. pydantic is imported only if a policy file is given, because its import takes a
considerable part of a program's start-up time.
"""

from __future__ import annotations

import dataclasses
import math
import tomllib
from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from result import Err, Ok, Result

from arrowfold.dataplane.options import DataPlaneOptions
from arrowfold.placement.options import PlacementOptions
from arrowfold.scaling.options import ScalingOptions
from arrowfold.selection.options import SelectionOptions

DIVISORS = frozenset(  # options that are used as divisors, so 0 is invalid
    {
        "adapter_workload",
        "delay_half_life_s",
        "fast_s",
        "others_half_life_s",
        "payback_s",
        "rare_s",
        "rate_memory_s",
        "slow_s",
        "strike_half_life_s",
        "target_share",
        "tokens_per_worker",
        "workers_a_room",
    }
)


@dataclass(frozen=True, slots=True)
class PolicyOptions:
    """The options of all policies, by table of the policy file."""

    selection: SelectionOptions = field(default_factory=SelectionOptions)
    placement: PlacementOptions = field(default_factory=PlacementOptions)
    data_plane: DataPlaneOptions = field(default_factory=DataPlaneOptions)
    scaling: ScalingOptions = field(default_factory=ScalingOptions)


def load_policy_options(path_option: str | None) -> Result[PolicyOptions, str]:
    """Loads the policy file at `path_option`, or returns the defaults if it is None.

    The error is one line of text that starts with the path.
    """
    if path_option is None:
        return Ok(PolicyOptions())
    try:
        document = tomllib.loads(Path(path_option).read_text(encoding="utf-8"))
    except (OSError, ValueError) as error:
        return Err(f"{path_option}: {error}")
    return read_policy_options(document).map_err(lambda reason: f"{path_option}: {reason}")


def read_policy_options(document: Mapping[str, Any]) -> Result[PolicyOptions, str]:
    """Validates a parsed document; unknown keys, wrong types and numbers out of range are errors.

    The error is one line of text that names the first invalid option by its path in the document.
    """
    from pydantic import TypeAdapter, ValidationError

    unknown_key = next(_unknown_keys(PolicyOptions(), document, ""), None)
    if unknown_key is not None:
        return Err(f"{unknown_key}: there is no such option")
    try:
        options = TypeAdapter[PolicyOptions](PolicyOptions).validate_python(document)
    except ValidationError as error:
        first_error = error.errors()[0]
        return Err(f"{'.'.join(map(str, first_error['loc']))}: {first_error['msg']}")
    range_error = next(_out_of_range_errors(options, ""), None)
    return Ok(options) if range_error is None else Err(range_error)


def _unknown_keys(defaults: Any, document: Any, path: str) -> Iterator[str]:
    """Yields the dotted path of each key that is not an option."""
    if not isinstance(document, Mapping):
        return
    names = {item.name for item in dataclasses.fields(defaults)}
    for key, value in document.items():
        if key not in names:
            yield f"{path}{key}"
        elif dataclasses.is_dataclass(nested := getattr(defaults, key)):
            yield from _unknown_keys(nested, value, f"{path}{key}.")


def _out_of_range_errors(options: Any, path: str) -> Iterator[str]:
    """Yields an error text for each number that is negative, infinite or NaN, or 0 as a divisor."""
    for item in dataclasses.fields(options):
        value = getattr(options, item.name)
        if dataclasses.is_dataclass(value):
            yield from _out_of_range_errors(value, f"{path}{item.name}.")
            continue
        numbers = value if isinstance(value, tuple) else (value,)
        for number in numbers:
            if not isinstance(number, bool) and not (math.isfinite(number) and number >= 0):
                yield f"{path}{item.name}: {number} is not a figure of 0 or more"
            elif item.name in DIVISORS and number == 0:
                yield f"{path}{item.name}: must be more than 0"
