"""Two workers leave, each at the moment at which the machines are killed that follow the store for the others; see claim.txt."""
import asyncio
import os
import random
import signal
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "rig-3"))
import rig as r

DRAIN_S = 3.0        # DrainTimeoutMs
LONGER_S = 0.15      # how much longer the first worker serves
MUCH_LONGER_S = 5.0  # and the second one
DOWN_S = 0.4         # from the kill of a process to its next start
WORK_S = 0.03        # to run a call


async def run(worker, request, reader, writer):
    await asyncio.sleep(WORK_S)
    await r.answer(writer, "200 OK", worker.signed(request), b"done")
    return True


async def play(rig):
    rig.configure(3, [r.call_route("plain", "/buy/", "unsafe"), r.call_route("plain", "/read/", "safe")], [r.service("plain")],
                  [{"Name": "shop", "ApiKeys": ["key-of-shop"], "Priority": 1}])
    workers = [await rig.worker("w-%d" % n, "plain", run, slots=6) for n in (1, 2, 3, 4, 5)]
    machines = [rig.machine("frontend-a-%d" % n) for n in (1, 2, 3, 4)]
    stores = {m: await rig.own_store_address(m) for m in machines}
    for m in machines:
        m.start()
    for m in machines:
        await m.await_ready()
    await asyncio.sleep(6)
    follow = [m for m in machines if r.now() - rig.store.watched.get((stores[m], "servers"), 0) < 3]
    others = [m for m in machines if m not in follow]
    rig.record.line("the store is watched by %s" % ", ".join(m.name for m in follow))
    if len(follow) != 2:
        raise RuntimeError("the store is watched by %d machines" % len(follow))
    stop, answers = asyncio.Event(), {}

    async def client(machine, number):
        """A client of a machine that is not killed. It keeps its connection and sends one request after the other."""
        connection, count = rig.connection(machine), 0
        while not stop.is_set():
            count += 1
            ident = "%s-%d-%d" % (machine.name, number, count)
            fields = [("Host", "shop.example"), ("Wisteriahaven-Attempt-Id", ident), ("Wisteriahaven-Deadline-Milliseconds", "2000"), ("X-Api-Key", "key-of-shop")]
            got = await connection.send("POST", "/buy/x" if number % 3 else "/read/x", fields, b"one", timeout=2)
            answers[ident] = got.status
            rig.record.line("client: %s: status %s" % (ident, got.status or got.error))
            await asyncio.sleep(0.1 * random.random())

    clients = [asyncio.create_task(client(m, n)) for m in others for n in range(10)]
    await asyncio.sleep(2)
    late = []

    async def leave(leaving, longer):
        """The machines that follow the store are killed as the entry of a worker is removed."""
        if r.trouble():
            for m in follow:
                m.signal(signal.SIGKILL)
        # The worker never reports that it drains: its entry is removed, and it serves on for DrainTimeoutMs and a little longer.
        rig.store.delete("servers", leaving.id)
        removed = r.now()
        rig.record.line("store: the entry of worker %s is removed" % leaving.id)
        if r.trouble():
            await asyncio.sleep(DOWN_S)
            for m in follow:
                m.start()
        await asyncio.sleep(max(0, removed + DRAIN_S + longer - r.now()))
        rig.record.line("worker %s ends" % leaving.id)
        await leaving.stop()
        late.extend((ident, leaving, at - removed) for ident, at in leaving.history if at > removed + DRAIN_S)

    await leave(workers[0], LONGER_S)
    await asyncio.sleep(1)
    await leave(workers[1], MUCH_LONGER_S)
    await asyncio.sleep(1)
    stop.set()
    await asyncio.gather(*clients)
    return ["request %s reached worker %s %.0f ms after the store had accepted that it is gone%s" % (
        ident, leaving.id, 1000 * after, "" if answers.get(ident) == 200 else ", answered %s" % answers.get(ident)) for ident, leaving, after in late]


r.main(__file__, play)
