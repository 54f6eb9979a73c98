"""Case 1 (TWICE): a surplus 421 of a worker is taken for the answer to the next send of the same try."""

from __future__ import annotations

import asyncio
import os
import random
import signal
import sys
import tempfile
from collections import Counter
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib"))

from engine_workers import Engine, EngineWorker, WeightStore  # noqa: E402
from rig import CannotRun, Record, Rig, call  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
PLAY_S = 70.0
EDGES = 3
WORKERS = 5
GARBLING = 3  # share 0.6 of the workers
GARBLE_SHARE = 0.03  # of the answers of each of them, while the trouble lasts
GARBLE_FOR_S = 5.0
GARBLE_EVERY_S = 6.0
MODELS = [f"m{number}" for number in range(36)]
BUSY = MODELS[:5]  # held by one worker each from the start, and asked for often
LOAD_S = 0.6
ENGINE = Engine("llm-pool", 64, 220_000.0, 72_700.0, LOAD_S, events=6, event_pause_s=0.02)
LOAD_RATE_S = 5.4
LOADS_AT_ONCE = 3  # at full speed; LOAD_RATE_S x LOAD_S rounded, as on the sheets
RARE_AFTER_S = 10.0
RARE_EVERY_S = 1.5  # rare models are asked for at once: RARE_MODELS of them, each by RARE_CLIENTS
RARE_MODELS = 5
RARE_CLIENTS = 3
BUSY_EVERY_S = 0.035
DEADLINE_MS = 6000
RETRIES = 1
PROMISES = (408, 421, 429, 503)


def configuration() -> dict[str, object]:
    """Returns the configuration: one pool of model workers, and a stream that may not be resumed."""
    models = [
        {"name": name, "weightsMb": 72700.0, "loadTimeS": LOAD_S, "adapters": 0, "adapterSizeMb": 12.0}
        for name in MODELS
    ]
    engine = {
        "capacitySlots": 64,
        "kvCacheTokens": 242840,
        "kvTokenBytes": 163840.0,
        "linkMbps": 180000.0,
        "stride": 5,
        "models": models,
        "weightsMb": 220000.0,
        "adapterCapacity": 8,
        "loadRateS": LOAD_RATE_S,
    }
    route = {
        "name": "repo-answer-free",
        "hostname": "review.example",
        "pathPrefix": "/answer/",
        "routeKind": "streaming",
        "timeoutMs": 6000,
        "targetLatencyMs": 1500,
        "priority": 0,
        "targetService": "llm-pool",
        "maxAttempts": 1,
        "sessionAffinity": True,
        "resumable": False,
        "gap_aim_ms": 400,
    }
    service = {
        "name": "llm-pool",
        "healthPath": "/healthz",
        "maxConnections": 370,
        "protocol": "h1",
        "tls": False,
        "engine": engine,
    }
    limits = {
        "maxHeaderBytes": 16384,
        "maxBodyBytes": 4194304,
        "headerTimeoutMs": 3000,
        "idleTimeoutMs": 15000,
    }
    return {"version": 3, "routes": [route], "services": [service], "limits": limits}


class Garble:
    """Says which answers come twice: in spells of GARBLE_FOR_S, never over 3 in 100 of a worker's answers.

    The share counts over the answers that the worker has sent during the spells so far. Among them it takes
    answers 421, as soon as enough others were sent.
    """

    def __init__(self, record: Record) -> None:
        self._record = record
        self._answers: Counter[str] = Counter()
        self._doubled: Counter[str] = Counter()

    def __call__(self, worker: EngineWorker, status: int, attempt: str) -> bool:
        if self._record.now() % GARBLE_EVERY_S >= GARBLE_FOR_S:
            return False
        name = worker.instance
        self._answers[name] += 1
        if status != 421 or self._doubled[name] + 1 > GARBLE_SHARE * self._answers[name]:
            return False
        self._doubled[name] += 1
        return True


class Clients:
    """Sends tries, each with an id of its own; repeats after a promise, as the page allows."""

    def __init__(self, rig: Rig, record: Record, rng: random.Random) -> None:
        self._rig = rig
        self._record = record
        self._rng = rng
        self.ends: dict[str, tuple[int, bool]] = {}

    async def ask(self, model: str) -> None:
        """Send one request, and once more after an answer that promises that it has not run."""
        left_ms = float(DEADLINE_MS)
        for _ in range(1 + RETRIES):
            started_s = self._record.now()
            attempt = f"{self._rng.getrandbits(64):016x}"
            edge = self._rng.choice(self._rig.edges)
            headers = {
                "X-Attempt-Id": attempt,
                "X-Deadline-Ms": str(int(left_ms)),
                "X-Model": model,
                "X-Token-Usage": "826,290",
                "X-Prompt-Prefix": f"{self._rng.getrandbits(32):08x}:826",
            }
            self._record.write("sent", attempt=attempt, model=model, edge=edge.name)
            answer = await call(
                self._rig.front_address(edge), "POST", "/answer/q", headers, b"x" * 800, left_ms / 1000
            )
            self.ends[attempt] = (answer.status, answer.complete)
            self._record.write(
                "answered",
                attempt=attempt,
                status=answer.status,
                complete=answer.complete,
                error=answer.error,
            )
            left_ms -= 1000 * (self._record.now() - started_s)
            if answer.status not in PROMISES:
                return
            wait_s = min(float(answer.headers.get("retry-after", "0.1")), left_ms / 3000)
            await asyncio.sleep(max(0.0, wait_s))
            left_ms -= 1000 * wait_s
            if left_ms < 200:
                return


async def play(rig: Rig, record: Record) -> int:
    """Play the case; returns the exit code."""
    rng = random.Random(61)
    await rig.start_all(configuration())
    controls = [rig.control_address(node) for node in rig.controls]
    workers = []
    store = WeightStore(LOADS_AT_ONCE)
    for number in range(WORKERS):
        held = [MODELS[number], MODELS[number + 5], MODELS[number + 10]]
        order = controls[number % 3 :] + controls[: number % 3]
        zone, host = f"zone-{number % 3 + 1}", f"{rig.network}.200"
        worker = EngineWorker(f"i-{number + 1:08x}", host, zone, ENGINE, held, order, record, rng, store)
        await worker.start()
        workers.append(worker)
    await asyncio.sleep(3.0)
    garble = Garble(record)
    if TROUBLE:
        for worker in workers[:GARBLING]:
            worker.doubles_answer = garble
    clients = Clients(rig, record, rng)
    tasks: set[asyncio.Task[None]] = set()
    next_busy_s = start_s = record.now()
    next_rare_s = start_s + RARE_AFTER_S
    while record.now() < start_s + PLAY_S:
        now_s = record.now()
        asked = []
        while next_busy_s <= now_s:
            next_busy_s += BUSY_EVERY_S
            asked.append(rng.choice(BUSY))
        while next_rare_s <= now_s:
            next_rare_s += RARE_EVERY_S
            asked.extend(rng.sample(MODELS[5:], RARE_MODELS) * RARE_CLIENTS)
        for model in asked:
            task = asyncio.get_running_loop().create_task(clients.ask(model))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
        await asyncio.sleep(0.005)
    if tasks:
        await asyncio.wait(tasks, timeout=8.0)
    for worker in workers:
        await worker.stop()
    return judge(record, workers, clients)


def judge(record: Record, workers: list[EngineWorker], clients: Clients) -> int:
    """Compare what was run with what was sent and answered; returns the exit code."""
    runs = Counter(attempt for worker in workers for attempt in worker.runs)
    twice = sorted(attempt for attempt, count in runs.items() if count > 1)
    promised = [attempt for attempt, (status, _) in clients.ends.items() if status in PROMISES]
    refused = sorted(attempt for attempt in promised if runs[attempt])
    served = sum(status == 200 and complete for status, complete in clients.ends.values())
    record.write(
        "end",
        tries=len(clients.ends),
        served=served,
        statuses=dict(Counter(status for status, _ in clients.ends.values())),
        answers={worker.instance: worker.answers for worker in workers},
        doubled={worker.instance: worker.garbled for worker in workers},
        run_twice=twice,
        refused_but_run=refused,
    )
    print(f"tries {len(clients.ends)}, served {served}, doubled answers {sum(w.garbled for w in workers)}")
    print(f"run more than once: {len(twice)}, answered with a promise and run: {len(refused)}")
    if served < len(clients.ends) / 2:
        return 2
    return 1 if twice or refused else 0


def main() -> int:
    """Returns 1 if the rule was broken, 0 if it held, 2 if the case could not run."""
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    record = Record(HERE / "record.txt")
    with tempfile.TemporaryDirectory(prefix="review-") as folder:
        rig = Rig(Path(folder), EDGES, record)
        try:
            return asyncio.run(play(rig, record))
        except CannotRun as error:
            print(f"could not run: {error}")
            return 2
        finally:
            rig.end()


if __name__ == "__main__":
    sys.exit(main())
