"""The fleet in virtual time: it repeats itself, and its checkers see each rule broken."""

from __future__ import annotations

import unittest
from collections.abc import Iterable
from dataclasses import replace
from unittest import mock

from arrowfold import interface as api
from benchmarks.fleet import __main__ as fleet
from benchmarks.fleet.days import DAYS
from benchmarks.fleet.deciders import RandomDecider
from benchmarks.fleet.world import World

SMALL = {"nodes": 14, "servers": 9, "seconds": 8}


class Repeats(unittest.TestCase):
    def test_each_day_keeps_the_rules_and_repeats_itself(self) -> None:
        for day in DAYS:
            with self.subTest(day):
                first, again = (fleet.play(day, seed=3, **SMALL) for _ in range(2))
                self.assertEqual(first.violations, [])
                self.assertEqual(first.figures(), again.figures())
                self.assertGreater(first.figures()["in time"], 100)

    def test_other_decisions_meet_the_same_arrivals(self) -> None:
        """Each part has its own random stream, so a decider's choices don't change the arrivals."""
        offered = [fleet.play("calm", decider, seed=3, **SMALL).offered_value for decider in fleet.DECIDERS]
        self.assertEqual(offered[0], offered[1])
        self.assertEqual(offered[0], offered[2])

    def test_who_sees_the_true_state_is_turned_away_least(self) -> None:
        plain, seeing = (fleet.play("calm", decider, seed=3, **SMALL).figures().get("full", 0.0)
                         for decider in ("plain", "seeing"))
        self.assertLess(seeing, plain)


class ColdBudget(unittest.TestCase):
    def test_all_nodes_together_keep_to_it_and_use_it(self) -> None:
        """Rule 4 holds though the nodes share no state, and the cold-start budget is used."""
        for day in ("join", "zone"):
            with self.subTest(day):
                world = fleet.play(day, seed=3, nodes=26, servers=15, seconds=16)
                used = world.figures()
                self.assertEqual((world.violations, used["falls"]), ([], 0))
                self.assertLess(used["cold peak"], 1)
                self.assertGreater(used["cold peak"], 0.2)


class AnswersTwice(RandomDecider):
    def handle(self, now_us: int, events: Iterable[api.Event]) -> list[api.Action]:
        actions = super().handle(now_us, events)
        return actions + [a for a in actions if isinstance(a, api.Refuse)]


class NeverAnswers(RandomDecider):
    def handle(self, now_us: int, events: Iterable[api.Event]) -> list[api.Action]:
        return [a for a in super().handle(now_us, events) if isinstance(a, api.Subscribe)]


class IgnoresUpdates(RandomDecider):
    """Ignores discovery's updates after the first list."""

    def handle(self, now_us: int, events: Iterable[api.Event]) -> list[api.Action]:
        return super().handle(now_us, [
            e for e in events if not (self.in_service and isinstance(e, api.RosterUpdate))])


class SendsCopies(RandomDecider):
    def _next_attempt(self, request: str) -> list[api.Action]:
        return 3 * super()._next_attempt(request)[:1]


class ResendsServed(RandomDecider):
    """Sends each request again after it was served."""

    def handle(self, now_us: int, events: Iterable[api.Event]) -> list[api.Action]:
        received = list(events)
        return super().handle(now_us, received) + [
            api.Send(e.request, e.worker) for e in received if isinstance(e, api.AttemptEnded) and e.final]


class SendsToUnknown(RandomDecider):
    def pick(self) -> str:
        return "nobody"


class OverloadsNewest(RandomDecider):
    """Sends every request to the worker that started last."""

    def pick(self) -> str:
        return max(self.in_service.values(), key=lambda entry: entry.launched_us).worker


class Checkers(unittest.TestCase):
    def play(self, day: str, decider: type[RandomDecider], **changes: object) -> World:
        def make_decider(settings: api.Settings, seed: int, _: World) -> RandomDecider:
            return decider(settings, seed)

        with mock.patch.dict(fleet.DECIDERS, other=make_decider):
            return fleet.play(day, "other", seed=3, **{**SMALL, **changes})  # type: ignore[arg-type]

    def assert_violation(self, world: World, text: str) -> None:
        self.assertTrue(any(text in line for line in world.violations), world.violations[:3])

    def test_plain_breaks_nothing(self) -> None:
        self.assertEqual(self.play("calm", RandomDecider).violations, [])

    def test_two_answers(self) -> None:
        self.assert_violation(self.play("calm", AnswersTwice, load=2.0), "answered twice")

    def test_no_answer(self) -> None:
        self.assert_violation(self.play("calm", NeverAnswers), "lost")

    def test_a_draining_server_is_sent_to(self) -> None:
        world = self.play("join", IgnoresUpdates, seconds=12)
        self.assert_violation(world, "told to drain")
        self.assertGreater(world.latest_drain_us, 1_000_000)

    def test_copies_beyond_what_the_settings_permit(self) -> None:
        self.assert_violation(self.play("calm", SendsCopies), "attempts at once")

    def test_a_send_after_the_answer(self) -> None:
        self.assert_violation(self.play("calm", ResendsServed), "sent after its answer")

    def test_a_send_to_a_name_that_nobody_listed(self) -> None:
        self.assert_violation(self.play("calm", SendsToUnknown), "never listed")

    def test_what_may_have_run_is_repeated_too_late_or_at_all_or_called_harmless(self) -> None:
        """A zone's loss resets the attempts running there; the random decider retries them, then refuses."""
        for effect, words in ((api.Idempotency.KEYED, ("after its window",)),
                              (api.Idempotency.UNSAFE, ("though it may have run", "denied after"))):
            conf = fleet.example_settings()
            classes = tuple(replace(c, idempotency=effect, window_us=20_000) for c in conf.classes)
            world = self.play("zone", RandomDecider, load=1.5, settings=replace(conf, classes=classes))
            for word in words:
                self.assert_violation(world, word)

    def test_a_cold_server_that_is_pushed_falls_over(self) -> None:
        world = self.play("join", OverloadsNewest, seconds=12)
        self.assertGreater(sum(s.crash_count for s in world.workers.values()), 0)
        self.assertGreater(world.figures()["cold peak"], 1)
        self.assert_violation(world, "overloaded while cold")


if __name__ == "__main__":
    unittest.main()
