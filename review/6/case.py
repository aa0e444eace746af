"""A tenant loses all its keys: the revoked key, unknown keys and no key at all are served from then on."""

import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "rig-2"))
import rig  # noqa: E402

CONFIG_APPLY_S = 3.0


def case(record):
    zones = ("zone-a", "zone-b", "zone-c")
    estate = rig.Estate(record, 3, zones)
    try:
        routes = [rig.route("hold", "/hold/", "unsafe", "stock"), rig.route("level", "/level/", "safe", "stock")]
        services = [rig.plain_service("stock")]
        put = lambda version, keys: estate.store.put("config", "main", rig.configuration(version, routes, services, [{"Name": "counter", "ApiKeys": keys, "Priority": 1}]))
        put(7, ["key-held-first"])
        runs = {}

        def run(worker, call):
            runs[call.id] = (worker.name, call.fields.get("wisteriahaven-tenant"))
            call.succeed(b"done")

        for n, zone in enumerate(zones):
            rig.Worker(record, estate.store, "i-%d" % (n + 1), "stock", zone, slots=6, run=run).register()
        estate.start()
        estate.await_ready()

        def ask(instance, key, what):
            ident = rig.new_id()
            fields = {"Host": "shop.example", "Wisteriahaven-Attempt-Id": ident, "Wisteriahaven-Deadline-Milliseconds": "3000"}
            if key:
                fields["X-Api-Key"] = key
            status, _, _, _ = rig.request(instance.clients, "POST", "/hold/9", fields, b"write-off")
            record("client sends %s with %s to %s: %d, run %s" % (ident, what, instance.name, status, runs.get(ident)))
            return ident, status

        for instance in estate.instances:
            if ask(instance, "key-held-first", "the key in force")[1] != 200:
                raise rig.Unable("a request with the key in force is not served")
            if ask(instance, "key-never-held", "a key that no configuration held")[1] != 401:
                raise rig.Unable("an unknown key is not rejected before the change")
        # Without the trouble the tenant gets another key in place of the old one.
        put(12, [] if rig.TROUBLE else ["key-held-second"])
        time.sleep(CONFIG_APPLY_S + 1.5)
        broken = []
        for instance in estate.instances:
            for _ in range(2):
                for key, what, rule in (("key-held-first", "the revoked key", "CONFIG"), ("key-never-held", "a key that no configuration held", "ROUTE"), (None, "no key", "ROUTE")):
                    ident, status = ask(instance, key, what)
                    if ident in runs:
                        broken.append("%s: the request %s with %s ran at %s for tenant %s and was answered %d" % (rule, ident, what, *runs[ident], status))
        return broken
    finally:
        estate.stop()


rig.main(FOLDER, case)
