"""Market tokens are never duplicated or lost, in any order of events at an edge."""

from __future__ import annotations

from hypothesis import given, settings, strategies
from hypothesis.stateful import Bundle, RuleBasedStateMachine, invariant, rule

from arrowfold.market.tokens import Token
from arrowfold.selection.engine_worker import EngineWorker
from arrowfold.selection.estimates import PriorMean
from arrowfold.selection.interface import ChosenWorker, Outcome, RequestProfile
from tests.system.selection_stage import SelectionHarness, worker

NAMES = [f"w{number}" for number in range(5)]
MODELS = ["m", "n", "m/x", "n/x,y"]
REQUESTED = ["m", "n", "m/x", "n/y", "absent"]


class TokenMachine(RuleBasedStateMachine):
    """Workers are added, changed and removed; requests end with every outcome; market rounds run."""

    in_flight = Bundle("in_flight")

    def __init__(self) -> None:
        super().__init__()
        self.harness = SelectionHarness(edges=3)
        self.seen: dict[str, EngineWorker] = {}

    @rule(
        held=strategies.dictionaries(
            strategies.sampled_from(NAMES),
            strategies.tuples(
                strategies.sampled_from(["available", "draining", "silent", "gone"]),
                strategies.lists(strategies.sampled_from(MODELS), unique_by=lambda m: m[0], max_size=2),
            ),
        )
    )
    def apply_workers(self, held: dict[str, tuple[str, list[str]]]) -> None:
        self.harness.apply_workers(
            *(worker(name, *models, state=state) for name, (state, models) in held.items())
        )
        self.seen.update({f"{n} {id(w)}": w for n, w in self.harness.selector._workers.items()})

    @rule(target=in_flight, model=strategies.sampled_from(REQUESTED), tokens=strategies.integers(1, 30_000))
    def request(self, model: str, tokens: int) -> tuple[RequestProfile, str]:
        request = self.harness.request(model, (("shared", 100), (f"own{tokens}", tokens)))
        choice = self.harness.choose(request)
        name = choice.instance if isinstance(choice, ChosenWorker) else ""
        if name:
            self.harness.selector.sent(request, name, self.harness.now_s)
        return request, name

    @rule(sent=in_flight, outcome=strategies.sampled_from(list(Outcome)), first=strategies.booleans())
    def end(self, sent: tuple[RequestProfile, str], outcome: Outcome, first: bool) -> None:
        request, name = sent
        if first:
            self.harness.selector.first_event(request, name, self.harness.now_s)
        self.harness.selector.ended(request, name, outcome, self.harness.now_s)

    @rule(name=strategies.sampled_from(NAMES), running=strategies.integers(0, 40))
    def report(self, name: str, running: int) -> None:
        self.harness.selector.load_reported(name, running, running // 4, 16, self.harness.now_s)

    @rule(seconds=strategies.floats(0.01, 90.0))
    def time_passes(self, seconds: float) -> None:
        self.harness.advance(min(seconds, 2.0))
        self.harness.now_s += seconds
        self.harness.selector.market_round(self.harness.now_s)

    @invariant()
    def every_token_has_one_table_and_one_holder(self) -> None:
        listed: list[Token[EngineWorker]] = [
            token for table in self.harness.selector.market.tables.values() for token in table.tokens
        ]
        held = [token for w in self.seen.values() for token in w.tokens]
        assert len(listed) == len({id(token) for token in listed})
        assert {id(token) for token in listed} == {id(token) for token in held}
        assert len(held) == len(listed)
        assert all(token in token.holder.tokens for token in listed)

    @invariant()
    def only_known_workers_hold_tokens(self) -> None:
        known = self.harness.selector._workers.values()
        assert all(any(w is k for k in known) for w in self.seen.values() if w.tokens)


TokenMachine.TestCase.settings = settings(max_examples=40, stateful_step_count=40, deadline=None)
TestTokens = TokenMachine.TestCase


@given(strategies.integers(1, 1_000))
def test_many_edges_have_fewer_tokens_each_but_at_least_the_minimum(edges: int) -> None:
    harness = SelectionHarness(edges=edges)
    options = harness.selector.options
    tokens = harness.selector.market.tokens_per_worker
    assert options.fewest_tokens_per_worker <= tokens <= options.tokens_per_worker
    if edges <= options.usual_edges:
        assert tokens == options.tokens_per_worker


@given(strategies.lists(strategies.floats(0.0, 2.0), min_size=1, max_size=40), strategies.floats(0.0, 2.0))
def test_a_prior_mean_stays_within_its_samples(samples: list[float], prior: float) -> None:
    mean = PriorMean()
    assert mean.get(prior) == prior
    for sample in samples:
        mean.add(sample, prior)
    assert min([*samples, prior]) - 1e-9 <= mean.get(0.0) <= max([*samples, prior]) + 1e-9


def test_a_prior_mean_follows_its_samples() -> None:
    mean = PriorMean()
    for _ in range(10):
        mean.add(1.0, 0.0)
    assert mean.get(0.0) > 0.7
