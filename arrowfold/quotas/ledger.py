"""The ledger: balances of all levels, and whether a job may come in.

A job is let in if every level above it has room in every window, in one step. A level whose own window is
full may borrow what siblings leave, if the window around has room for it and for all that active siblings are
still owed of their own. What is borrowed is a debt, paid out of the borrower's own share.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable, Collection, Iterable, Mapping
from datetime import timedelta
from itertools import islice
from typing import Any

from arrowfold.quotas.accounts import Account, Path, Refusal, Ticket
from arrowfold.quotas.borrowing import may_borrow, pay_debt, withheld_now
from arrowfold.quotas.comebacks import Comebacks
from arrowfold.quotas.tree import MOST_AMOUNT, Level, Limit, Resource, Tree
from arrowfold.quotas.window import Window

MICROSECOND = timedelta(microseconds=1)
MOST_VANISHED = 10_000
MOST_NUMBERS = 100_000  # handed to the next process: about a megabyte
MOST_ROUNDS = 16  # looks at all windows for a time that suits each
Costs = Mapping[Resource, int]


class Ledger:
    """All balances of one node. Time comes from outside, in microseconds; one that goes back stands still."""

    def __init__(self, tree: Tree, nodes: int = 1, now_us: int = 0) -> None:
        self.tree, self.nodes, self.now_us = tree, max(1, nodes), now_us
        self.accounts: OrderedDict[Path, Account] = OrderedDict()  # the latest used last
        self.forgotten = 0
        self.start_us: int | None = self.now_us  # from nothing; None once a predecessor's balances are here
        self.vanished: dict[Path, Account] = {}  # levels that another tree left out, with what they hold
        # Told of each charge, and of what is given back, in plain values: `follow` of another takes them.
        self.on_charge: Callable[[list[Any]], None] | None = None

    # --- asked at arrival --------------------------------------------------------------------------------

    def admit(
            self, path: Path, request_class: str, costs: Costs, now_us: int, resent: bool = False,
    ) -> Ticket | Refusal:
        """Charge every level for a job, or say which one has no room; then nothing is charged anywhere.

        One that comes back when it was told, and says so (`resent`), may use what is kept for it.
        """
        now_us = self._tick(now_us)
        chain = self._asked(path, request_class, now_us)
        told = {account.path for account in chain
                if resent and account.comebacks is not None and account.comebacks.take(now_us)}
        borrowing, full = self._lacking(chain, costs, now_us, told, keep=False)
        if not full and any(account.comebacks is not None for account in chain):
            borrowing, full = self._lacking(chain, costs, now_us, told, keep=True)
        if full:
            for account, number in full:
                limit = account.level.limits[number]
                if costs[limit.resource] > account.windows[number].limit:
                    return Refusal(account.path, limit, None)
            return self._refuse(chain, full, costs, now_us)
        ticket = Ticket(path, request_class, now_us)
        for account in chain:
            account.open += 1
            for limit, window in zip(account.level.limits, account.windows, strict=True):
                cost = costs.get(limit.resource, 0)
                ticket.charges.append((account, window, window.charge(cost, now_us), limit.resource, cost))
        for account, number, amount in borrowing:
            account.debt[number] += amount
            account.borrowed[number].charge(amount, now_us)
        self._tell(ticket, costs, now_us, borrowing)
        return ticket

    def _lacking(
            self, chain: list[Account], costs: Costs, now_us: int, told: Collection[Path], keep: bool,
    ) -> tuple[list[tuple[Account, int, int]], list[tuple[Account, int]]]:
        """What of its windows' room a job would have to borrow, and the windows that are full for it.

        With `keep`, what is kept for those who come back counts as taken; it is reckoned up only for jobs
        that have room otherwise.
        """
        borrowing, full = [], []
        for depth, account in enumerate(chain):
            pay_debt(account, now_us, self.tree.payback)
            parent = chain[depth - 1] if depth else None
            for number, (limit, window) in enumerate(zip(account.level.limits, account.windows, strict=True)):
                cost = costs.get(limit.resource, 0)
                if cost <= 0:
                    continue
                over = cost - (window.room(now_us) - withheld_now(account, number, self.tree.payback))
                if keep and over <= 0 and account.comebacks is not None and account.path not in told:
                    over += account.comebacks.kept(window, cost, now_us)
                if over <= 0:
                    continue
                if parent is not None and may_borrow(
                        account, number, cost, parent, now_us, account.path in told, self.tree.payback):
                    borrowing.append((account, number, min(cost, over)))
                else:
                    full.append((account, number))
        return borrowing, full

    def _asked(self, path: Path, request_class: str, now_us: int) -> list[Account]:
        """The levels that a job counts at, each noted as active at the one above."""
        chain = [account for account in self._chain(path) if _counts(account.level, request_class)]
        for parent, account in zip([None, *chain], chain, strict=False):
            account.seen_us = now_us
            if parent is not None:
                parent.children.pop(account.path, None)
                parent.children[account.path] = account
        return chain

    def settle(self, ticket: Ticket, used: Costs, now_us: int) -> None:
        """What a job really used: the rest of what was reserved goes back, what is more is charged now."""
        if ticket.settled:
            return
        ticket.settled = True
        now_us = self._tick(now_us)
        for account in dict.fromkeys(account for account, *_ in ticket.charges):
            account.open -= 1
        differences: dict[Resource, int] = {}
        for _, window, slot, resource, reserved in ticket.charges:
            difference = differences[resource] = min(max(used.get(resource, 0), 0), MOST_AMOUNT) - reserved
            if difference < 0:
                window.refund(slot, -difference)
            elif difference > 0:
                window.charge(difference, now_us)
        self._tell(ticket, differences, now_us)

    # --- the other process of this node, while both run --------------------------------------------------

    def _tell(self, ticket: Ticket, amounts: Costs, now_us: int,
              borrowing: Iterable[tuple[Account, int, int]] = ()) -> None:
        if self.on_charge is not None:
            self.on_charge([list(ticket.path), ticket.request_class, ticket.at_us, now_us,
                            {resource.value: amount for resource, amount in amounts.items() if amount},
                            [[list(account.path), number, amount] for account, number, amount in borrowing]])

    def follow(self, row: Any, now_us: int) -> None:
        """Charge what another process of this node has charged, or give it back. ValueError where it is none.

        Guards a limit against being counted once in each process: what either lets in, both have charged.
        """
        now_us = self._tick(now_us)
        try:
            parts, request_class, begun_us, at_us, amounts, borrowing = row
            path = tuple(str(part) for part in parts)
            for account in self._asked(path, str(request_class), now_us):
                for limit, window in zip(account.level.limits, account.windows, strict=True):
                    amount = int(amounts.get(limit.resource.value, 0))
                    window.adjust(amount, int(begun_us) if amount < 0 else int(at_us), now_us)
            for parts, number, amount in borrowing:
                lender = self.accounts.get(tuple(str(part) for part in parts))
                if lender is not None and lender.borrowed:
                    lender.debt[number] += int(amount)
                    lender.borrowed[number].adjust(int(amount), int(at_us), now_us)
        except (AttributeError, IndexError, TypeError, ValueError, OverflowError) as error:
            raise ValueError(f"no charge: {error}") from error

    # --- refusals ----------------------------------------------------------------------------------------

    def _refuse(
            self, chain: list[Account], full: list[tuple[Account, int]], costs: Costs, now_us: int,
    ) -> Refusal:
        """When all windows have room for this one beside all who were told to come back by then.

        It names the window that lets it wait longest.
        """
        for account in chain:
            account.comebacks = account.comebacks or Comebacks()
        comebacks = [account.comebacks for account in chain if account.comebacks is not None]
        # Whoever asks at one level is told one after the other.
        at_us = max([now_us + 1, *comebacks[-1].times[-1:]])
        longest, path, named = -1, full[0][0].path, full[0][0].level.limits[full[0][1]]
        for round_ in range(MOST_ROUNDS):
            before_us = at_us
            for account in chain:
                for number, limit in enumerate(account.level.limits):
                    cost = costs.get(limit.resource, 0)
                    if cost <= 0:
                        continue
                    alone_us = self._free_at(account, number, cost, before_us, now_us)
                    if not round_ and (account, number) in full and alone_us > longest:
                        longest, path, named = alone_us, account.path, limit
                    at_us = max(at_us, alone_us)
            if at_us == before_us:
                break
        for told in comebacks:
            told.tell(at_us)
        return Refusal(path, named, timedelta(microseconds=at_us - now_us))

    def _free_at(self, account: Account, number: int, cost: int, at_us: int, now_us: int) -> int:
        window, withheld = account.windows[number], withheld_now(account, number, self.tree.payback)
        if cost + withheld > window.limit:  # its debt has to be paid first
            rate = max(1, int(self.tree.payback * window.limit))
            at_us = max(at_us, now_us + account.debt[number] * window.span_us // rate + window.span_us)
            withheld = 0
        assert account.comebacks is not None
        return account.comebacks.earliest(window, window.limit - withheld, cost, at_us)

    # --- accounts ----------------------------------------------------------------------------------------

    def part(self, limit: Limit) -> int:
        """This node's part of a limit. All nodes' parts together are at most `stretch` times the limit."""
        part = limit.amount * min(1.0, self.tree.stretch / self.nodes) if self.nodes > 1 else limit.amount
        return max(1, min(int(part), MOST_AMOUNT)) if limit.amount > 0 else 0

    def _chain(self, path: Path) -> Iterable[Account]:
        found = []
        for at, level in self.tree.chain(path):
            account = self.accounts.get(at)
            if account is None:
                account = self.accounts[at] = self._begin(at, level)
            self.accounts.move_to_end(at)
            found.append(account)
        if len(self.accounts) > self.tree.most_levels:
            self._forget()
        return found

    def _begin(self, at: Path, level: Level) -> Account:
        windows = []
        for limit in level.limits:
            window = Window(self.part(limit), max(1, limit.per // MICROSECOND))
            start_us = self.start_us
            if self.tree.cautious < 1 and start_us is not None and self.now_us < start_us + window.span_us:
                # A start from nothing: as if the rest had been used at that moment. Who comes later than a
                # window after it, or was forgotten since, has its whole share.
                window.charge(int(window.limit * (1 - self.tree.cautious)), start_us)
                window.advance(self.now_us)
            windows.append(window)
        return Account(at, level, windows)

    def _forget(self) -> None:
        """Guards the memory against ever new names: those that were idle longest and owe nothing go."""
        for path in list(islice(self.accounts, 64)):
            account = self.accounts[path]
            if len(self.accounts) > self.tree.most_levels and account.idle(self.now_us):
                del self.accounts[path]
                parent = self.accounts.get(path[:-1])
                if parent is not None:
                    parent.children.pop(path, None)
                self.forgotten += 1
            else:
                self.accounts.move_to_end(path)

    def _tick(self, now_us: int) -> int:
        self.now_us = max(self.now_us, now_us)
        return self.now_us

    # --- another tree, and the next process --------------------------------------------------------------

    def change(self, tree: Tree, nodes: int) -> None:
        """Another tree from now on; balances stay by path, resource and length of window."""
        last, self.accounts = {**self.vanished, **self.accounts}, OrderedDict()
        self.vanished = {}
        self.tree, self.nodes = tree, max(1, nodes)
        for path, account in last.items():
            level = next((lv for at, lv in tree.chain(path if path != ("",) else ()) if at == path), None)
            if level is None:
                # Guards against credit minted by taking a level out and putting it back.
                if not account.idle(self.now_us) and len(self.vanished) < MOST_VANISHED:
                    self.vanished[path] = account
                continue
            held = {(li.resource, li.per): (w, d) for li, w, d in zip(
                account.level.limits, account.windows, account.debt, strict=True)}
            # The account itself stays, for open tickets know it.
            account.level, account.windows, account.debt = level, [], []
            for limit in level.limits:
                window, debt = held.get((limit.resource, limit.per), (None, 0))
                if window is None:
                    window = Window(0, max(1, limit.per // MICROSECOND))
                window.limit = self.part(limit)
                account.windows.append(window)
                account.debt.append(debt)
            account.borrowed = [Window(w.limit, w.span_us) for w in account.windows] if level.borrow else []
            account.children.clear()
            self.accounts[path] = account

    def state(self, most_numbers: int = MOST_NUMBERS) -> list[Any]:
        """Balances and debts, for the process that follows; plain values, the latest used first.

        At most so many numbers: it goes over in one message, with the sockets, and within a second. What is
        left out begins there as after a start from nothing.
        """
        said, count = [], 0
        for path, account in reversed(self.accounts.items()):
            if account.idle(self.now_us):
                continue
            count += 4 + sum(3 + 2 * len(window.slots) for window in account.windows)
            if count > most_numbers:
                break
            said.append([list(path), account.rows()])
        return said

    def restore(self, state: list[Any], now_us: int) -> None:
        """Take over what `state` said. ValueError where it is none."""
        self._tick(now_us)
        self.start_us = None
        try:
            for parts, rows in reversed(state):  # the latest used last, as here
                path = tuple(str(part) for part in parts)
                chain = list(self._chain(() if path == ("",) else path))
                if not chain or chain[-1].path != path:
                    continue
                chain[-1].take_over(rows)
        except (TypeError, ValueError, KeyError) as error:
            raise ValueError(f"no state of quotas: {error}") from error

    def describe(self, path: Path, now_us: int) -> list[str]:
        """Balances of one level, a phrase for each limit."""
        now_us = self._tick(now_us)
        account = self.accounts.get(path or ("",))
        if account is None:
            return []
        pay_debt(account, now_us, self.tree.payback)
        return account.describe(now_us)

    def reset(self, path: Path) -> bool:
        """Forget what a level has used and owes; whether it was known. Open tickets can't refund into it."""
        account = self.accounts.get(path or ("",))
        if account is None:
            return False
        account.reset()
        return True


def _counts(level: Level, request_class: str) -> bool:
    return not level.classes or request_class in level.classes
