"""The rules of the token market after Chen's thesis, whose equations are cited: counts, prices and trades.

L_g, T_s, T_r and T are project defaults: see `tokens_per_worker` and `trade_threshold` of `MarketView`.
"""

from __future__ import annotations

import math
from typing import Any

from arrowfold.market.tokens import HolderT, Token
from arrowfold.market.view import MarketView, TableT

ROUND_SAMPLE = 8  # workers sampled in a token-trading round
CANDIDATES = 3  # workers compared when a drawn token is traded at once
MAX_TOKENS = 4800  # of all classes together; with more than 200 workers each holds fewer
MAX_TOKEN_CHANGES = 1000  # tokens granted or recalled in one round, so as not to block the event loop


class TokenMarket(MarketView[HolderT, TableT]):
    """Adjusts token counts to the workload and trades tokens among their holders."""

    load_per_token = 0.0  # L_g

    def _cheapest(self, table: TableT, workers: list[HolderT]) -> HolderT | None:
        """Returns the lowest C_j(w), plus the load of own tokens that no report shows yet; ties random."""

        def price(worker: HolderT) -> tuple[float, float]:
            expected = len(worker.tokens) / max(self._size(worker)[0], 1.0) / 4
            return self._cost(worker, table) + expected, self.random.random()

        return min(workers, key=price) if workers else None

    def _grant(self, table: TableT) -> bool:
        holder = self._cheapest(table, self._sample(table, ROUND_SAMPLE))
        if holder is not None:
            Token(table, holder)
        return holder is not None

    def _reassign(self, freed: list[Token[HolderT]]) -> None:
        """Moves the tokens of removed workers to the lowest C_j(w), in their tables' order."""
        for table in self.tables.values() if freed else ():
            for token in table.tokens.in_order(t for t in freed if t.table is table):
                holder = self._cheapest(table, self._sample(table, ROUND_SAMPLE))
                if holder is not None:
                    token.move(holder)

    def _recount(self) -> None:
        """N_i = ceil(L_i / L_g): grants or recalls tokens as the measured workload changes (chapter 5)."""
        workload = {name: table.workload(self.now) for name, table in self.tables.items()}
        changes_left, per_worker = MAX_TOKEN_CHANGES, self.tokens_per_worker
        load = sum(workload.values()) / max(per_worker, min(self.worker_count * per_worker, MAX_TOKENS))
        if not 0.7 * self.load_per_token < load < 1.4 * self.load_per_token:
            self.load_per_token = load  # hysteresis: a small load change does not change the token counts
        for name, table in self.tables.items():
            target = max(1, math.ceil(workload[name] / self.load_per_token)) if self.load_per_token > 0 else 1
            while len(table.tokens) < target and changes_left > 0 and self._grant(table):
                changes_left -= 1
            while len(table.tokens) > target * 1.25 + 1 and changes_left > 0:
                changes_left -= 1
                drawn = [self.random.choice(table.tokens) for _ in range(CANDIDATES)]
                max(drawn, key=lambda t: self._cost(t.holder, table)).recall()

    def _imbalance(self, worker: HolderT) -> tuple[float, float]:
        """B_j and B_abs_j, equations 2 and 3."""
        deviations = [self._load(worker, k) - mean for k, mean in enumerate(self.mean)]
        return sum(deviations), sum(abs(deviation) for deviation in deviations)

    def _trade(self, workers: list[HolderT]) -> None:
        """Moves tokens from senders, to receivers, and between two exchangers (chapter 4)."""
        threshold = self.trade_threshold * self.spread * len(self.mean)  # T_s = -T_r = T
        imbalance = {id(w): self._imbalance(w) for w in workers}
        by_load = sorted(workers, key=lambda w: imbalance[id(w)][0])
        for worker in by_load[::-1]:
            if imbalance[id(worker)][0] > threshold:
                self._hand_over(worker, by_load[0])
        for worker in by_load:
            if imbalance[id(worker)][0] < -threshold:
                self._hand_over(by_load[-1], worker)
        exchangers = [w for w in workers if abs(imbalance[id(w)][0]) <= threshold < imbalance[id(w)][1]]
        pairs = [(a, b) for i, a in enumerate(exchangers) for b in exchangers[i + 1 :]]
        if pairs:
            self._swap(*max(pairs, key=lambda pair: self.pair_gain(*pair)), threshold)

    def _hand_over(self, sender: HolderT, receiver: HolderT) -> None:
        """Moves the sender's token with the lowest C_j(w) at the receiver."""
        fitting = [t for t in sender.tokens if self._may_hold(receiver, t.table)]
        if fitting and sender is not receiver and self._may_receive(receiver):
            min(fitting, key=lambda t: self._cost(receiver, t.table)).move(receiver)

    def pair_gain(self, one: HolderT, two: HolderT) -> float:
        """Equation 4 minus equation 5: the largest possible gain of a pair of exchangers."""
        ideal = 0.0
        for k, mean in enumerate(self.mean):
            r1, r2 = self._size(one)[k], self._size(two)[k]
            ideal += abs(((self._load(one, k) - mean) * r1 + (self._load(two, k) - mean) * r2) / (r1 + r2))
        return self._imbalance(one)[1] + self._imbalance(two)[1] - 2 * ideal

    def _swap(self, one: HolderT, two: HolderT, threshold: float) -> None:
        """Equation 7: swaps the two tokens with the largest gain, if that exceeds T."""

        def gain(pair: tuple[Any, Any]) -> float:
            a, b = pair[0].table, pair[1].table
            return self._cost(one, a) - self._cost(two, a) + self._cost(two, b) - self._cost(one, b)

        from_one = [t for t in one.tokens if self._may_hold(two, t.table)]
        from_two = [t for t in two.tokens if self._may_hold(one, t.table)]
        pairs = [(a, b) for a in from_one for b in from_two if a.table is not b.table]
        best = max(pairs, key=gain, default=None)
        if best and gain(best) > threshold:
            best[0].move(two)
            best[1].move(one)
