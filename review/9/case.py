"""The open connections to the store go silent, and just then a runner leaves that never says that it drains."""
import asyncio
import itertools
import os
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
import stand_ins_2 as s

# TROUBLE=0: the same without the disruption, which must pass.
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

CONTACT_S = 3.0
DRAIN_S = 2.0
LEAVES_AFTER_S = 0.3
# "It continues serving for `drain_ms` after the store has accepted that report and a little longer"
SERVES_FOR_S = DRAIN_S + 1.1
# As on the sheet: 8 machines in 3 zones, 3 runners of the dispatch app.
ROUTERS = 8
RUNNERS = 3


async def case(record, temporary, trouble, routers):
    store = s.Store(record)
    store.put("op", "config", s.configuration(
        1, [s.route("/a/", "plain", "unsafe", max_attempts=1)], [s.service("plain")]))

    async def work(runner, run, reader, writer):
        await asyncio.sleep(0.05)
        await runner.answer_at_once(run, reader, writer)

    runners = [s.Runner(record, store, f"i-{number + 1}", "plain", behaviour=work)
               for number in range(RUNNERS)]
    for runner in runners:
        await runner.start()
        await asyncio.sleep(0.4)
    for index in range(ROUTERS):
        routers.append(s.Router(record, temporary, f"edge-{index + 1}", await store.open_port(), zone=f"z{index % 3 + 1}",
                                zones=("z1", "z2", "z3")))
    for router in routers:
        router.settings["seeds"] = [f"127.0.0.1:{each.ports['control_plane']}" for each in routers]
        await router.start()
    for router in routers:
        await s.wait_until(router.is_ready, 15, "all routers are ready")
    tasks = []
    statuses = {}
    sent_at = {}

    async def send(name, router):
        sent_at[name] = record.now()
        fields = [("X-Request-Id", name), ("X-Deadline-Ms", "1000"), ("Api-Key", s.KEY)]
        try:
            statuses[name] = (await s.call(router.ports["frontend"], "POST", "/a/1", fields)).status
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError) as error:
            statuses[name] = repr(error)
        record.line(f"client: {name} at {router.name}: {statuses[name]}")

    async def traffic():
        for number in itertools.count(1):
            tasks.append(asyncio.create_task(send(f"r-{number}", routers[number % ROUTERS])))
            await asyncio.sleep(0.01)

    sender = asyncio.create_task(traffic())
    await asyncio.sleep(CONTACT_S + 4)
    silent_at = record.now()
    if trouble:
        store.silence_connections()
        record.line("the open connections to the store go silent")
    await asyncio.sleep(LEAVES_AFTER_S)
    leaving = runners[0]
    await leaving.leave()
    acknowledged = record.now()
    record.line(f"runner {leaving.name}: leaves; the store has accepted that its entry is removed")
    await asyncio.sleep(SERVES_FOR_S)
    record.line(f"runner {leaving.name}: exits")
    await leaving.crash()
    await asyncio.sleep(3)
    sender.cancel()
    await asyncio.gather(*tasks)
    late = [run for run in leaving.runs
            if run.at > acknowledged + DRAIN_S and sent_at[run.id] > silent_at + CONTACT_S]
    lost = [run.id for run in leaving.runs if statuses.get(run.id) != 200]
    last = max(run.at for run in leaving.runs)
    record.line(f"the last request reaches it {last - acknowledged:.2f} s after the acknowledgement")
    record.line(f"requests that reached it later than drain_ms, from machines in touch: {len(late)}; lost: {lost}")
    return not late


s.main(pathlib.Path(__file__).resolve().parent, case, TROUBLE)
