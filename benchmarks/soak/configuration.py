"""The configuration of soaks: that of trials, one more route, streams of a rare model that may run once."""

from __future__ import annotations

from typing import Any

from arrowfold.standins.trial_client import RequestKind
from arrowfold.standins.trial_configuration import ADDED, trial_configuration, trial_route

RARE_MODEL = "rare-model"  # held by one worker at the start
DRAFT = RequestKind("draft stream", "/draft/", streams=True, model=RARE_MODEL)


def soak_configuration() -> dict[str, Any]:
    """Returns the initial configuration, without a version."""
    configuration = trial_configuration()
    configuration["routes"].append(trial_route("added", ADDED, "idempotent"))
    configuration["routes"].append(trial_route("draft", DRAFT, "streaming", maxAttempts=1, gap_aim_ms=500))
    for service in configuration["services"]:
        for model in service.get("engine", {}).get("models", ())[:1]:
            service["engine"]["models"].append({**model, "name": RARE_MODEL})
    return configuration
