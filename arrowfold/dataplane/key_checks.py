"""Checks of requests' keys against the current configuration, on arrival and before each attempt."""

from __future__ import annotations

from collections.abc import Callable

from result import Err, Ok, Result

from arrowfold.configuration.routes import Route
from arrowfold.dataplane.attempts import RequestProgress
from arrowfold.dataplane.credentials import Admission, Credentials, admit
from arrowfold.dataplane.own_answers import EdgeAnswer
from arrowfold.dataplane.tables import ConfigurationSnapshot, FleetSnapshot


class KeyChecks:
    """Admits requests; `keys_are_fresh` is called only for those that carry a key."""

    def __init__(
        self,
        snapshot: Callable[[], FleetSnapshot],
        keys_are_fresh: Callable[[], bool],
        always_hides_keys: bool,
    ) -> None:
        """`always_hides_keys`: never forward Authorization, even if the configuration has no tenants."""
        self._snapshot = snapshot
        self._keys_are_fresh = keys_are_fresh
        self._always_hides_keys = always_hides_keys

    def admit(
        self, configuration: ConfigurationSnapshot, route: Route, credentials: Credentials
    ) -> Admission:
        """Returns whether a request that has just arrived may proceed."""
        return admit(credentials, configuration.routes.tenants, route, self._keys_are_fresh)

    def recheck(self, progress: RequestProgress) -> Result[None, EdgeAnswer]:
        """Returns whether an attempt may begin now, and assigns the key's current owner to the request."""
        configuration = self._snapshot().configuration
        if configuration is None:
            return Ok(None)
        admission = self.admit(configuration, progress.route, progress.credentials)
        if admission.is_err():
            return Err(admission.unwrap_err())
        progress.set_tenant(admission.unwrap())
        if self._always_hides_keys or configuration.routes.tenants.required:
            progress.hides_key = True
        return Ok(None)
