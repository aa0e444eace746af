"""Workers end while an instance is frozen, and their addresses go to workers of another service."""
import asyncio
import os
import signal
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "rig"))
import rig  # noqa: E402

FREEZE_S = 4.0         # node_freeze in the site file: for_s = 4.0, one machine
ADDRESS_REUSE_S = 2.0  # AddressReuseS
HEARTBEAT_S = 1.2      # HeartbeatIntervalMs
ROUNDS = 8             # in each round one of the model workers left ends
STREAMS = 12
EVENTS = 130
PAUSE_S = 0.05


async def handle(worker, request):
    """Workers of both services run what they get; a stream has EVENTS events."""
    request.run()
    if worker.service == "calls":
        await asyncio.sleep(0.03)
        request.succeed("answer of " + worker.id)
        return
    request.begin_stream()
    begin = int(request.field("Last-Event-Id") or 0)
    for number in range(begin + 1, EVENTS + 1):
        await asyncio.sleep(PAUSE_S)
        if request.gone() or not worker.alive:
            return
        request.event(number, "piece-%d" % number)
        await request.writer.drain()
    request.end_stream()


async def case():
    world = rig.World(os.path.dirname(os.path.abspath(__file__)))
    try:
        return await play(world)
    finally:
        world.close()


async def play(world):
    world.handle = handle
    await world.store.start()
    world.configure(3, [
        rig.route("draft", "streaming", "model", 25000, 5, target_ms=4500),
        rig.route("book", "unsafe", "calls", 800, 1),
    ], [rig.service("model", engine=True), rig.service("calls")])
    models = [await world.add_worker("i-model-%d" % n, "model", "a") for n in range(ROUNDS + 2)]
    await world.add_worker("i-calls-0", "calls", "a", slots=6)
    # By their names the second and the third instance follow the store's list of workers; the first one hears from them.
    instances = world.add_instances(["a", "a", "a", "a"])
    for each in instances:
        each.start()
    for each in instances:
        if not await each.wait_ready():
            return 2
    await asyncio.sleep(1.0)
    answers = []
    for number in range(ROUNDS):
        answers += await play_round(world, instances[0], models, number)
    wrong = [(at, w, r) for at, w, r in world.runs if (w.service == "model") != r.target.startswith("/draft/")]
    for at, worker, request in wrong:
        text = "ROUTE: request %s for %s ran at %s of service %s at %.3f" % (request.id, request.target, worker.id, worker.service, at)
        world.record.line(text)
        print(text)
    print("%d of %d streams complete, %d requests ran at a service to which no configuration allows them to go" % (
        sum(a.complete for a in answers), len(answers), len(wrong)))
    return 1 if wrong else 0


async def play_round(world, instance, models, number):
    """Freezes the instance; a worker ends meanwhile, and its address is given to another service."""
    headers = (("Wisteriahaven-Model", "m"), ("Wisteriahaven-Token-Counts", "800,780"))
    streams = [asyncio.create_task(world.request(
        instance, "POST", "/draft/x", b"prompt %d of round %d" % (n, number), 25000, headers + (("Wisteriahaven-Prompt-Prefix", "%02x%02x:800" % (number, n)),)))
        for n in range(STREAMS)]
    await asyncio.sleep(1.0)
    if not world.trouble:
        return await asyncio.gather(*streams)
    victim = max((w for w in models if w.alive), key=lambda w: w.running)
    instance.signal(signal.SIGSTOP)
    await asyncio.sleep(0.5)
    victim.crash(reset=False)
    victim.expire_entry(3 * HEARTBEAT_S)
    reused_after = FREEZE_S - 0.5 - 0.2
    assert reused_after > ADDRESS_REUSE_S
    await asyncio.sleep(reused_after)
    await world.add_worker("i-calls-%d" % (number + 1), "calls", "a", slots=6, port=victim.port)
    await asyncio.sleep(0.2)
    instance.signal(signal.SIGCONT)
    return await asyncio.gather(*streams)


rig.main(case)
