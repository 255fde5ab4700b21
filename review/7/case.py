"""One request crashes each runner that begins to run it, and its caller sends it again and again. The service has
two runners, each of which starts again under its id, as another process with a later `born`."""
import asyncio
import itertools
import os
import pathlib
import random
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
import stand_ins_2 as s

# TROUBLE=0: the same without the disruption, which must pass.
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

CONTACT_S = 3.0
# "more than three retries"
ALLOWED_RETRIES = 3
RUNNERS = 2
# "the runner is back after some seconds"
BACK_AFTER_S = 2.0
POISON = b"the body that crashes its runner"
POISON_PERIOD_S = 2.0
# Requests of other callers to the same service.
GOOD_PER_S = 20.0
LENGTH_S = 40.0


async def case(record, temporary, trouble, routers):
    store = s.Store(record)
    # As `dispatch` of the sheets: requests that may run once, at most one runner each.
    store.put("op", "config", s.configuration(
        1, [s.route("/confirm/", "plain", "unsafe", max_attempts=1, timeout_ms=2000)], [s.service("plain")]))

    def unix_ms():
        return int(time.time() * 1000)

    crashed_at = []
    poisoned_runs = []
    tasks = []
    statuses = {}

    async def run_or_crash(runner, run, reader, writer):
        if run.message.body != POISON:
            await asyncio.sleep(0.05)
            await runner.answer_at_once(run, reader, writer)
            return
        poisoned_runs.append(record.now())
        if not trouble:
            await runner.answer_at_once(run, reader, writer)
            return
        crashed_at.append(record.now())
        record.line(f"runner {runner.name}: crashes of {run.id}, crash {len(crashed_at)}")
        tasks.append(asyncio.create_task(come_back(runner)))
        await runner.crash()

    async def come_back(runner):
        await asyncio.sleep(BACK_AFTER_S)
        record.line(f"runner {runner.name}: starts again")
        await s.Runner(record, store, runner.name, "plain", behaviour=run_or_crash, born=unix_ms()).start()

    for number in range(RUNNERS):
        await s.Runner(record, store, f"i-{number + 1}", "plain", behaviour=run_or_crash, born=unix_ms()).start()
    for index in range(3):
        routers.append(s.Router(record, temporary, f"edge-{index + 1}", await store.open_port(), zone=f"z{index + 1}",
                                zones=("z1", "z2", "z3")))
    for router in routers:
        router.settings["seeds"] = [f"127.0.0.1:{each.ports['control_plane']}" for each in routers]
        await router.start()
    for router in routers:
        await s.wait_until(router.is_ready, 15, "all routers are ready")
    await asyncio.sleep(CONTACT_S + 1)

    chance = random.Random(7)

    async def send(name, body, router):
        fields = [("X-Request-Id", name), ("X-Deadline-Ms", "1000"), ("Api-Key", s.KEY)]
        try:
            answer = await s.call(router.ports["frontend"], "POST", "/confirm/1", fields, body)
            statuses[name] = answer.status
            record.line(f"client: {name} at {router.name}: {answer.status} {answer.message.body[:60]!r}")
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError) as error:
            record.line(f"client: {name} at {router.name}: {error!r}")

    async def good_traffic():
        for number in itertools.count(1):
            await asyncio.sleep(chance.expovariate(GOOD_PER_S))
            tasks.append(asyncio.create_task(send(f"good-{number}", b"fine", chance.choice(routers))))

    tasks.append(asyncio.create_task(good_traffic()))
    sent = []
    end = record.now() + LENGTH_S
    for number in itertools.count(1):
        if record.now() >= end:
            break
        sent.append(f"poison-{number}")
        await send(sent[-1], POISON, chance.choice(routers))
        await asyncio.sleep(POISON_PERIOD_S)
    for task in tasks:
        task.cancel()
    late = [at for at in poisoned_runs if len(crashed_at) >= 3 and at > crashed_at[2] + CONTACT_S]
    lost = [name for name, status in statuses.items() if name.startswith("good") and status == 502]
    record.line(f"requests of others, lost with the runner that ran them: {len(lost)}")
    record.line(f"crashes: {len(crashed_at)}; runs later than contact_ms after the third crash: {len(late)}")
    if not trouble:
        # Nothing crashes, so each of these requests has to be run once and answered.
        unanswered = [name for name in sent if statuses.get(name) != 200]
        record.line(f"requests without an answer: {unanswered}; runs: {len(poisoned_runs)} of {len(sent)}")
        return not unanswered and len(poisoned_runs) == len(sent)
    if len(crashed_at) < 3:
        raise s.CannotRun("the request has crashed fewer than three runners")
    return len(late) <= ALLOWED_RETRIES


s.main(pathlib.Path(__file__).resolve().parent, case, TROUBLE)
