"""Why an edge tries no further worker for a request, and what it answers then."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from arrowfold.dataplane.own_answers import EdgeAnswer


class GiveUpReason(Enum):
    """Why no further worker was tried for a request."""

    ATTEMPTS_SPENT = "attempts spent"  # the route's maximum, or the request may not run again
    RETRY_BUDGET_SPENT = "retry budget spent"
    NO_WORKER_CHOSEN = "no worker chosen"  # by the selection
    CHOICES_SPENT = "choices spent"
    KEY_REFUSED = "key refused"
    DEADLINE = "deadline"
    PROCESS_ENDS = "process ends"


@dataclass(frozen=True, slots=True)
class GiveUp:
    """The end of a request that no worker answered; `refusal` is its answer if it cannot have run."""

    refusal: EdgeAnswer
    reason: GiveUpReason
