"""Most routers are lost for good at one moment; the last one is asked by clients where to connect."""
import asyncio
import json
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
import stand_ins_2 as s

# Of the sheet on whose page the rule stands (kit/more/system/shifted/LATER.md).
CONTACT_S = 4.0
BOUNDS = {"contact_ms": 4000, "ack_ms": 6000, "catch_up_s": 6, "drain_ms": 3000, "config_apply_ms": 3000,
          "max_extension_ms": 6000, "recovery_s": 15, "pass_ms": 200}
# "over contact_ms + 3 s before"
LONGEST_NAMED_S = CONTACT_S + 3.0
# "More than three answers"
ALLOWED_ANSWERS = 3
ROUTERS = 6
LOST = 4


async def case(record, temporary, trouble, routers):
    store = s.Store(record)
    store.put("op", "config", s.configuration(1, [s.route("/a/", "plain")], [s.service("plain")]))
    runner = s.Runner(record, store, "i-1", "plain")
    await runner.start()
    for index in range(ROUTERS):
        zone = f"z{index % 3 + 1}"
        routers.append(s.Router(record, temporary, f"edge-{index + 1}", await store.open_port(), zone=zone,
                                zones=("z1", "z2", "z3"), bounds=BOUNDS))
    for router in routers:
        router.settings["seeds"] = [f"127.0.0.1:{each.ports['control_plane']}" for each in routers[:3]]
        await router.start()
    addresses = {f"127.0.0.1:{each.ports['frontend']}": each.name for each in routers}

    async def ask(router):
        answer = await s.call(router.ports["directory"], "GET",
                              f"/resolve?name={s.HOST}&region=region&zone={router.zone}", [])
        named = json.loads(answer.message.body).get("addresses", []) if answer.status == 200 else []
        return {addresses[each] for each in named}

    async def all_named():
        return len(set().union(*[await ask(each) for each in routers])) == ROUTERS

    for router in routers:
        await s.wait_until(router.is_ready, 15, "all routers are ready")
    await s.wait_until(all_named, 15, "the directory names all routers")
    # More than contact_ms without a disruption: the machines are in touch.
    await asyncio.sleep(CONTACT_S + 2)
    left, lost = routers[:ROUTERS - LOST], routers[ROUTERS - LOST:]
    if trouble:
        for router in lost:
            router.send_signal(9)
        for router in lost:
            await router.process.wait()
    lost_at = record.now()
    names_lost = {each.name for each in lost} if trouble else set()
    too_late = 0
    while record.now() < lost_at + 14:
        for router in left:
            named = await ask(router)
            since = record.now() - lost_at
            record.line(f"{router.name} names {sorted(named)}, {since:.2f} s after the loss")
            runs_too = bool(named - names_lost)
            if trouble and named & names_lost and runs_too and since > LONGEST_NAMED_S:
                too_late += 1
        await asyncio.sleep(0.5)
    record.line(f"answers that name lost machines over {LONGEST_NAMED_S} s after their loss: {too_late}")
    return too_late <= ALLOWED_ANSWERS


s.main(pathlib.Path(__file__).resolve().parent, case)
