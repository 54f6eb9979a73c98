"""The fleet simulation is deterministic, and its checkers detect a violation of each rule."""

from __future__ import annotations

import unittest
from collections.abc import Iterable
from dataclasses import replace
from unittest import mock

from arrowfold import interface as api
from benchmarks.fleet import __main__ as fleet
from benchmarks.fleet.days import DAYS
from benchmarks.fleet.deciders import Plain
from benchmarks.fleet.world import World

SMALL = {"nodes": 14, "servers": 9, "seconds": 8}


class Determinism(unittest.TestCase):
    def test_each_day_keeps_the_rules_and_is_deterministic(self) -> None:
        for day in DAYS:
            with self.subTest(day):
                first, again = (fleet.play(day, seed=3, **SMALL) for _ in range(2))
                self.assertEqual(first.broken, [])
                self.assertEqual(first.figures(), again.figures())
                self.assertGreater(first.figures()["in time"], 100)

    def test_all_deciders_get_the_same_arrivals(self) -> None:
        """Random streams are separate: the decisions of a decider must not change the arrivals."""
        offered = [fleet.play("calm", decider, seed=3, **SMALL).offered for decider in fleet.DECIDERS]
        self.assertEqual(offered[0], offered[1])
        self.assertEqual(offered[0], offered[2])

    def test_a_decider_that_knows_the_true_state_refuses_least(self) -> None:
        plain, seeing = (fleet.play("calm", decider, seed=3, **SMALL).figures().get("full", 0.0)
                         for decider in ("plain", "seeing"))
        self.assertLess(seeing, plain)


class ColdBudget(unittest.TestCase):
    def test_all_nodes_together_keep_within_it_and_use_it(self) -> None:
        """Rule 4 holds over a fleet whose nodes share no state; an unused budget would be a fault as well."""
        for day in ("join", "zone"):
            with self.subTest(day):
                world = fleet.play(day, seed=3, nodes=26, servers=15, seconds=16)
                used = world.figures()
                self.assertEqual((world.broken, used["falls"]), ([], 0))
                self.assertLess(used["cold peak"], 1)
                self.assertGreater(used["cold peak"], 0.2)


class DuplicatesRefusals(Plain):
    """Repeats each refusal."""

    def handle(self, now_us: int, events: Iterable[api.Event]) -> list[api.Action]:
        actions = super().handle(now_us, events)
        return actions + [a for a in actions if isinstance(a, api.Refuse)]


class NeverAnswers(Plain):
    """Never answers or sends a request."""

    def handle(self, now_us: int, events: Iterable[api.Event]) -> list[api.Action]:
        return [a for a in super().handle(now_us, events) if isinstance(a, api.Subscribe)]


class IgnoresListUpdates(Plain):
    """Ignores all but the first list and keeps sending to its servers."""

    def handle(self, now_us: int, events: Iterable[api.Event]) -> list[api.Action]:
        return super().handle(now_us, [
            e for e in events if not (self.serving and isinstance(e, api.RosterUpdate))])


class SendsThreeCopies(Plain):
    """Sends each request three times at once."""

    def _go_on(self, request: str) -> list[api.Action]:
        return 3 * super()._go_on(request)[:1]


class ResendsServed(Plain):
    """Sends a request again after its final outcome."""

    def handle(self, now_us: int, events: Iterable[api.Event]) -> list[api.Action]:
        received = list(events)
        return super().handle(now_us, received) + [
            api.Send(e.request, e.worker) for e in received if isinstance(e, api.AttemptEnded) and e.final]


class SendsToUnlisted(Plain):
    """Sends to a server that is in no list."""

    def pick(self) -> str:
        return "nobody"


class OverloadsColdServer(Plain):
    """Sends all requests to the server that started last."""

    def pick(self) -> str:
        return max(self.serving.values(), key=lambda entry: entry.launched_us).worker


class Checkers(unittest.TestCase):
    def play(self, day: str, decider: type[Plain], **changes: object) -> World:
        def make_decider(settings: api.Settings, seed: int, _: World) -> Plain:
            return decider(settings, seed)

        with mock.patch.dict(fleet.DECIDERS, other=make_decider):
            return fleet.play(day, "other", seed=3, **{**SMALL, **changes})  # type: ignore[arg-type]

    def assert_violation(self, world: World, text: str) -> None:
        self.assertTrue(any(text in line for line in world.broken), world.broken[:3])

    def test_plain_breaks_nothing(self) -> None:
        self.assertEqual(self.play("calm", Plain).broken, [])

    def test_a_second_answer_is_detected(self) -> None:
        self.assert_violation(self.play("calm", DuplicatesRefusals, load=2.0), "answered twice")

    def test_a_missing_answer_is_detected(self) -> None:
        self.assert_violation(self.play("calm", NeverAnswers), "lost")

    def test_an_attempt_at_a_draining_server_is_detected(self) -> None:
        world = self.play("join", IgnoresListUpdates, seconds=12)
        self.assert_violation(world, "told to drain")
        self.assertGreater(world.latest_drain_us, 1_000_000)

    def test_more_attempts_at_once_than_permitted_are_detected(self) -> None:
        self.assert_violation(self.play("calm", SendsThreeCopies), "attempts at once")

    def test_an_attempt_after_the_answer_is_detected(self) -> None:
        self.assert_violation(self.play("calm", ResendsServed), "sent after its answer")

    def test_an_attempt_at_an_unlisted_server_is_detected(self) -> None:
        self.assert_violation(self.play("calm", SendsToUnlisted), "never listed")

    def test_a_wrong_retry_or_refusal_of_a_request_that_may_have_run_is_detected(self) -> None:
        """The loss of a zone resets the requests that run there; the plain decider retries, then refuses."""
        for effect, texts in ((api.Idempotency.KEYED, ("after its window",)),
                               (api.Idempotency.UNSAFE, ("though it may have run", "denied after"))):
            conf = fleet.shipped()
            classes = tuple(replace(c, idempotency=effect, window_us=20_000) for c in conf.classes)
            world = self.play("zone", Plain, load=1.5, settings=replace(conf, classes=classes))
            for text in texts:
                self.assert_violation(world, text)

    def test_an_overloaded_cold_server_fails_and_is_detected(self) -> None:
        world = self.play("join", OverloadsColdServer, seconds=12)
        self.assertGreater(sum(s.falls for s in world.servers.values()), 0)
        self.assertGreater(world.figures()["cold peak"], 1)
        self.assert_violation(world, "pushed over")


if __name__ == "__main__":
    unittest.main()
