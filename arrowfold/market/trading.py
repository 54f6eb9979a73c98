"""The rules of the token market (Chen's thesis): token counts, prices, the three trades (docs/design.md).

L_g, T_s, T_r and T are project defaults: L_g gives a worker `tokens_per_worker` on average; T_s = -T_r = T is
`trade_threshold` times the usual spread of loads round their mean, over all resources.
"""

from __future__ import annotations

import math
from typing import Any

from arrowfold.market.tokens import HolderT, Token
from arrowfold.market.view import MarketView, TableT

SAMPLE = 8  # workers looked at in a round
PARTNERS = 3  # workers looked at when a drawn token is traded at once
MOST_TOKENS = 4800  # of all classes; of more workers than 200 each holds fewer
TRADED = 1000  # tokens granted or recalled in one round: a turn of the loop is to stay short


class TokenMarket(MarketView[HolderT, TableT]):
    """Token counts that follow the workload, and trades among the holders."""

    unit = 0.0  # L_g

    def _cheapest(self, table: TableT, workers: list[HolderT]) -> HolderT | None:
        """The lowest C_j(w), own tokens that no report shows yet counted in; ties by chance."""

        def price(worker: HolderT) -> tuple[float, float]:
            planned = len(worker.tokens) / max(self._size(worker)[0], 1.0) / 4
            return self._cost(worker, table) + planned, self.random.random()

        return min(workers, key=price) if workers else None

    def _grant(self, table: TableT) -> bool:
        holder = self._cheapest(table, self._sample(table, SAMPLE))
        if holder is not None:
            Token(table, holder)
        return holder is not None

    def _rehouse(self, freed: list[Token[HolderT]]) -> None:
        """Tokens of workers that leave go to the lowest C_j(w), in their tables' order."""
        for table in self.tables.values() if freed else ():
            for token in table.tokens.in_order(t for t in freed if t.table is table):
                holder = self._cheapest(table, self._sample(table, SAMPLE))
                if holder is not None:
                    token.move(holder)

    def _recount(self) -> None:
        """N_i = ceil(L_i / L_g): add or recall tokens as the measured workload moves (ch. 5)."""
        workload = {name: table.workload(self.now) for name, table in self.tables.items()}
        left, fine = TRADED, self.tokens_per_worker
        unit = sum(workload.values()) / max(fine, min(self.fleet * fine, MOST_TOKENS))
        if not 0.7 * self.unit < unit < 1.4 * self.unit:  # hysteresis: L_g stays while tokens trade
            self.unit = unit
        for name, table in self.tables.items():
            wanted = max(1, math.ceil(workload[name] / self.unit)) if self.unit > 0 else 1
            while len(table.tokens) < wanted and left > 0 and self._grant(table):
                left -= 1
            while len(table.tokens) > wanted * 1.25 + 1 and left > 0:
                left -= 1
                few = [self.random.choice(table.tokens) for _ in range(PARTNERS)]
                max(few, key=lambda t: self._cost(t.holder, table)).recall()

    def _imbalance(self, worker: HolderT) -> tuple[float, float]:
        """B_j and B_abs_j, equations 2 and 3."""
        away = [self._load(worker, k) - mean for k, mean in enumerate(self.mean)]
        return sum(away), sum(abs(a) for a in away)

    def _trade(self, workers: list[HolderT]) -> None:
        """Senders give, receivers pull, exchangers swap (ch. 4)."""
        edge = self.trade_threshold * self.spread * len(self.mean)  # T_s = -T_r = T
        state = {id(w): self._imbalance(w) for w in workers}
        by_load = sorted(workers, key=lambda w: state[id(w)][0])
        for worker in by_load[::-1]:
            if state[id(worker)][0] > edge:
                self._hand_over(worker, by_load[0])
        for worker in by_load:
            if state[id(worker)][0] < -edge:
                self._hand_over(by_load[-1], worker)
        idle = [w for w in workers if abs(state[id(w)][0]) <= edge < state[id(w)][1]]
        pairs = [(a, b) for i, a in enumerate(idle) for b in idle[i + 1 :]]
        if pairs:
            self._swap(*max(pairs, key=lambda pair: self.pair_gain(*pair)), edge)

    def _hand_over(self, giver: HolderT, taker: HolderT) -> None:
        """The giver's token with the lowest C_j(w) at the taker moves there."""
        fitting = [t for t in giver.tokens if self._may_hold(taker, t.table)]
        if fitting and giver is not taker and self._may_receive(taker):
            min(fitting, key=lambda t: self._cost(taker, t.table)).move(taker)

    def pair_gain(self, one: HolderT, two: HolderT) -> float:
        """Equation 4 minus equation 5: what a pair of exchangers could win."""
        ideal = 0.0
        for k, mean in enumerate(self.mean):
            r1, r2 = self._size(one)[k], self._size(two)[k]
            ideal += abs(((self._load(one, k) - mean) * r1 + (self._load(two, k) - mean) * r2) / (r1 + r2))
        return self._imbalance(one)[1] + self._imbalance(two)[1] - 2 * ideal

    def _swap(self, one: HolderT, two: HolderT, edge: float) -> None:
        """Equation 7: swap the two tokens that gain most, when that exceeds T."""

        def gain(pair: tuple[Any, Any]) -> float:
            a, b = pair[0].table, pair[1].table
            return self._cost(one, a) - self._cost(two, a) + self._cost(two, b) - self._cost(one, b)

        given = [t for t in one.tokens if self._may_hold(two, t.table)]
        taken = [t for t in two.tokens if self._may_hold(one, t.table)]
        pairs = [(a, b) for a in given for b in taken if a.table is not b.table]
        best = max(pairs, key=gain, default=None)
        if best and gain(best) > edge:
            best[0].move(two)
            best[1].move(one)
