"""The ledger: balances of all levels, and the admission of jobs against them.

A job is admitted, in one step, if every level of its path has free capacity in every window. A level whose
own window is full may borrow its siblings' unused quota, if the parent's window has capacity for the job
beside the unused shares of the active siblings. A borrowed amount is a debt, repaid out of the borrower's own
share.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable, Collection, Iterable, Mapping
from datetime import timedelta
from itertools import islice
from typing import Any

from arrowfold.quotas.accounts import Account, Path, Refusal, Ticket
from arrowfold.quotas.borrowing import can_borrow, reduce_debts, withheld_for_debt
from arrowfold.quotas.comebacks import PromisedRetries
from arrowfold.quotas.tree import MOST_AMOUNT, Level, Limit, Resource, Tree
from arrowfold.quotas.window import Window

MICROSECOND = timedelta(microseconds=1)
MAX_REMOVED_ACCOUNTS = 10_000
MAX_STATE_NUMBERS = 100_000  # in the state for the next process: about a megabyte
MAX_SEARCH_ROUNDS = 16  # passes over all windows in the search for a time at which each has capacity
Costs = Mapping[Resource, int]


class Ledger:
    """All balances of one node. Callers pass the time in microseconds; it never goes back."""

    def __init__(self, tree: Tree, nodes: int = 1, now_us: int = 0) -> None:
        self.tree, self.nodes, self.now_us = tree, max(1, nodes), now_us
        self.accounts: OrderedDict[Path, Account] = OrderedDict()  # the most recently used last
        self.evicted_count = 0
        self.start_us: int | None = self.now_us  # of a start without balances; None after `restore`
        self.removed_accounts: dict[Path, Account] = {}  # balances of levels that the current tree lacks
        # Called with each charge and refund, in JSON values, for `apply_replicated_charge` of the ledger of
        # another process.
        self.on_charge: Callable[[list[Any]], None] | None = None

    # --- admission ---------------------------------------------------------------------------------------

    def admit(
            self, path: Path, request_class: str, costs: Costs, now_us: int, resent: bool = False,
    ) -> Ticket | Refusal:
        """Charge every level for a job, or refuse it without any charge.

        A retry at or after its promised time, marked by the client (`resent`), may use the capacity reserved
        for retries.
        """
        now_us = self._advance_clock(now_us)
        chain = self._charged_accounts(path, request_class, now_us)
        due_paths = {account.path for account in chain
                     if resent and account.retries is not None and account.retries.use_due(now_us)}
        borrowing, full = self._find_shortages(chain, costs, now_us, due_paths, reserved=False)
        if not full and any(account.retries is not None for account in chain):
            borrowing, full = self._find_shortages(chain, costs, now_us, due_paths, reserved=True)
        if full:
            for account, number in full:
                limit = account.level.limits[number]
                if costs[limit.resource] > account.windows[number].limit:
                    return Refusal(account.path, limit, None)
            return self._refuse(chain, full, costs, now_us)
        ticket = Ticket(path, request_class, now_us)
        for account in chain:
            account.open_tickets += 1
            for limit, window in zip(account.level.limits, account.windows, strict=True):
                cost = costs.get(limit.resource, 0)
                ticket.charges.append((account, window, window.charge(cost, now_us), limit.resource, cost))
        for account, number, amount in borrowing:
            account.debt[number] += amount
            account.borrowed[number].charge(amount, now_us)
        self._publish(ticket, costs, now_us, borrowing)
        return ticket

    def _find_shortages(
            self, chain: list[Account], costs: Costs, now_us: int, due_paths: Collection[Path],
            reserved: bool,
    ) -> tuple[list[tuple[Account, int, int]], list[tuple[Account, int]]]:
        """Returns what a job would have to borrow, as (account, limit's index, amount), and the full windows.

        With `reserved`, capacity reserved for retries counts as used; it is computed only for jobs that would
        be admitted otherwise.
        """
        borrowing, full = [], []
        for depth, account in enumerate(chain):
            reduce_debts(account, now_us, self.tree.payback)
            parent = chain[depth - 1] if depth else None
            for number, (limit, window) in enumerate(zip(account.level.limits, account.windows, strict=True)):
                cost = costs.get(limit.resource, 0)
                if cost <= 0:
                    continue
                over = cost - (window.free_amount(now_us)
                               - withheld_for_debt(account, number, self.tree.payback))
                if reserved and over <= 0 and account.retries is not None and account.path not in due_paths:
                    over += account.retries.reserved_amount(window, cost, now_us)
                if over <= 0:
                    continue
                if parent is not None and can_borrow(
                        account, number, cost, parent, now_us, account.path in due_paths, self.tree.payback):
                    borrowing.append((account, number, min(cost, over)))
                else:
                    full.append((account, number))
        return borrowing, full

    def _charged_accounts(self, path: Path, request_class: str, now_us: int) -> list[Account]:
        """Returns the accounts that a job is charged to, and marks each as active at its parent."""
        chain = [account for account in self._chain(path) if _counts(account.level, request_class)]
        for parent, account in zip([None, *chain], chain, strict=False):
            account.last_request_us = now_us
            if parent is not None:
                parent.children.pop(account.path, None)
                parent.children[account.path] = account
        return chain

    def settle(self, ticket: Ticket, used: Costs, now_us: int) -> None:
        """Settle a ticket, once: refund what was reserved and not used, or charge what was used beyond it."""
        if ticket.settled:
            return
        ticket.settled = True
        now_us = self._advance_clock(now_us)
        for account in dict.fromkeys(account for account, *_ in ticket.charges):
            account.open_tickets -= 1
        differences: dict[Resource, int] = {}
        for _, window, slot, resource, reserved in ticket.charges:
            difference = differences[resource] = min(max(used.get(resource, 0), 0), MOST_AMOUNT) - reserved
            if difference < 0:
                window.refund(slot, -difference)
            elif difference > 0:
                window.charge(difference, now_us)
        self._publish(ticket, differences, now_us)

    # --- synchronisation with the node's other process, while both run -----------------------------------

    def _publish(self, ticket: Ticket, amounts: Costs, now_us: int,
                 borrowing: Iterable[tuple[Account, int, int]] = ()) -> None:
        """Call `on_charge` with a charge, or with the refund if amounts are negative."""
        if self.on_charge is not None:
            self.on_charge([list(ticket.path), ticket.request_class, ticket.at_us, now_us,
                            {resource.value: amount for resource, amount in amounts.items() if amount},
                            [[list(account.path), number, amount] for account, number, amount in borrowing]])

    def apply_replicated_charge(self, row: Any, now_us: int) -> None:
        """Apply a charge or refund of the node's other process. ValueError if the row is malformed.

        Prevents a limit from being applied once per process: what either admits is charged in both.
        """
        now_us = self._advance_clock(now_us)
        try:
            parts, request_class, begun_us, at_us, amounts, borrowing = row
            path = tuple(str(part) for part in parts)
            for account in self._charged_accounts(path, str(request_class), now_us):
                for limit, window in zip(account.level.limits, account.windows, strict=True):
                    amount = int(amounts.get(limit.resource.value, 0))
                    window.adjust(amount, int(begun_us) if amount < 0 else int(at_us), now_us)
            for parts, number, amount in borrowing:
                borrower = self.accounts.get(tuple(str(part) for part in parts))
                if borrower is not None and borrower.borrowed:
                    borrower.debt[number] += int(amount)
                    borrower.borrowed[number].adjust(int(amount), int(at_us), now_us)
        except (AttributeError, IndexError, TypeError, ValueError, OverflowError) as error:
            raise ValueError(f"no charge: {error}") from error

    # --- refusals ----------------------------------------------------------------------------------------

    def _refuse(
            self, chain: list[Account], full: list[tuple[Account, int]], costs: Costs, now_us: int,
    ) -> Refusal:
        """Promise the earliest time at which all windows have capacity for this job beside earlier promises.

        The refusal names the limit with the longest wait.
        """
        for account in chain:
            account.retries = account.retries or PromisedRetries()
        promised = [account.retries for account in chain if account.retries is not None]
        # Jobs refused at one level are promised times in the order of their refusals.
        at_us = max([now_us + 1, *promised[-1].times_us[-1:]])
        longest_us, path, refusing_limit = -1, full[0][0].path, full[0][0].level.limits[full[0][1]]
        for round_ in range(MAX_SEARCH_ROUNDS):
            before_us = at_us
            for account in chain:
                for number, limit in enumerate(account.level.limits):
                    cost = costs.get(limit.resource, 0)
                    if cost <= 0:
                        continue
                    free_us = self._earliest_free_us(account, number, cost, before_us, now_us)
                    if not round_ and (account, number) in full and free_us > longest_us:
                        longest_us, path, refusing_limit = free_us, account.path, limit
                    at_us = max(at_us, free_us)
            if at_us == before_us:
                break
        for retries in promised:
            retries.add(at_us)
        return Refusal(path, refusing_limit, timedelta(microseconds=at_us - now_us))

    def _earliest_free_us(self, account: Account, number: int, cost: int, at_us: int, now_us: int) -> int:
        window, withheld = account.windows[number], withheld_for_debt(account, number, self.tree.payback)
        if cost + withheld > window.limit:  # the debt has to be repaid first
            rate = max(1, int(self.tree.payback * window.limit))
            at_us = max(at_us, now_us + account.debt[number] * window.span_us // rate + window.span_us)
            withheld = 0
        assert account.retries is not None
        return account.retries.earliest_free_us(window, window.limit - withheld, cost, at_us)

    # --- accounts ----------------------------------------------------------------------------------------

    def node_share(self, limit: Limit) -> int:
        """Returns this node's share of a limit; all nodes' shares add up to at most `stretch` times it."""
        share = limit.amount * min(1.0, self.tree.stretch / self.nodes) if self.nodes > 1 else limit.amount
        return max(1, min(int(share), MOST_AMOUNT)) if limit.amount > 0 else 0

    def _chain(self, path: Path) -> Iterable[Account]:
        """Returns the accounts of a path's levels from the top, creating missing ones."""
        found = []
        for at, level in self.tree.chain(path):
            account = self.accounts.get(at)
            if account is None:
                account = self.accounts[at] = self._create_account(at, level)
            self.accounts.move_to_end(at)
            found.append(account)
        if len(self.accounts) > self.tree.most_levels:
            self._evict_idle()
        return found

    def _create_account(self, at: Path, level: Level) -> Account:
        windows = []
        for limit in level.limits:
            window = Window(self.node_share(limit), max(1, limit.per // MICROSECOND))
            start_us = self.start_us
            if self.tree.cautious < 1 and start_us is not None and self.now_us < start_us + window.span_us:
                # A start without balances: as if the remaining part had been used at that moment. An account
                # created more than a window later has its whole share.
                window.charge(int(window.limit * (1 - self.tree.cautious)), start_us)
                window.advance(self.now_us)
            windows.append(window)
        return Account(at, level, windows)

    def _evict_idle(self) -> None:
        """Remove accounts idle for longest, without debts. Bounds memory when tenant names are ever new."""
        for path in list(islice(self.accounts, 64)):
            account = self.accounts[path]
            if len(self.accounts) > self.tree.most_levels and account.idle(self.now_us):
                del self.accounts[path]
                parent = self.accounts.get(path[:-1])
                if parent is not None:
                    parent.children.pop(path, None)
                self.evicted_count += 1
            else:
                self.accounts.move_to_end(path)

    def _advance_clock(self, now_us: int) -> int:
        self.now_us = max(self.now_us, now_us)
        return self.now_us

    # --- a new tree, and the next process ----------------------------------------------------------------

    def replace_tree(self, tree: Tree, nodes: int) -> None:
        """Switch to another tree; balances are kept by path, resource and window length."""
        last, self.accounts = {**self.removed_accounts, **self.accounts}, OrderedDict()
        self.removed_accounts = {}
        self.tree, self.nodes = tree, max(1, nodes)
        for path, account in last.items():
            level = next((lv for at, lv in tree.chain(path if path != ("",) else ()) if at == path), None)
            if level is None:
                # Prevents gaining quota by removing a level and adding it again.
                if not account.idle(self.now_us) and len(self.removed_accounts) < MAX_REMOVED_ACCOUNTS:
                    self.removed_accounts[path] = account
                continue
            held = {(li.resource, li.per): (w, d) for li, w, d in zip(
                account.level.limits, account.windows, account.debt, strict=True)}
            # The account object is kept, since open tickets refer to it.
            account.level, account.windows, account.debt = level, [], []
            for limit in level.limits:
                window, debt = held.get((limit.resource, limit.per), (None, 0))
                if window is None:
                    window = Window(0, max(1, limit.per // MICROSECOND))
                window.limit = self.node_share(limit)
                account.windows.append(window)
                account.debt.append(debt)
            account.borrowed = [Window(w.limit, w.span_us) for w in account.windows] if level.borrow else []
            account.children.clear()
            self.accounts[path] = account

    def state(self, max_numbers: int = MAX_STATE_NUMBERS) -> list[Any]:
        """Returns balances and debts for the next process in JSON values, the most recently used first.

        The count of numbers is limited, since the state is handed over in one message, with the sockets, and
        within a second. Omitted accounts begin there as after a start without balances.
        """
        balances, count = [], 0
        for path, account in reversed(self.accounts.items()):
            if account.idle(self.now_us):
                continue
            count += 4 + sum(3 + 2 * len(window.slots) for window in account.windows)
            if count > max_numbers:
                break
            balances.append([list(path), account.rows()])
        return balances

    def restore(self, state: list[Any], now_us: int) -> None:
        """Restore the balances returned by `state`. ValueError if they are malformed."""
        self._advance_clock(now_us)
        self.start_us = None
        try:
            for parts, rows in reversed(state):  # so that the most recently used is last
                path = tuple(str(part) for part in parts)
                chain = list(self._chain(() if path == ("",) else path))
                if not chain or chain[-1].path != path:
                    continue
                chain[-1].take_over(rows)
        except (TypeError, ValueError, KeyError) as error:
            raise ValueError(f"no state of quotas: {error}") from error

    def describe(self, path: Path, now_us: int) -> list[str]:
        """Returns the balances of one level as a text for each limit; empty if it is unknown."""
        now_us = self._advance_clock(now_us)
        account = self.accounts.get(path or ("",))
        if account is None:
            return []
        reduce_debts(account, now_us, self.tree.payback)
        return account.describe(now_us)

    def reset(self, path: Path) -> bool:
        """Clear a level's balances and debts; whether it was known. Open tickets can't refund into it."""
        account = self.accounts.get(path or ("",))
        if account is None:
            return False
        account.reset()
        return True


def _counts(level: Level, request_class: str) -> bool:
    """Whether jobs of a class are charged to a level."""
    return not level.classes or request_class in level.classes
