"""A client of streams for the scripts of the second review."""

import time

import rig


class Client:
    """Receives one stream, and takes it up again where its connection broke, each time at another instance."""

    def __init__(self, record, estate, prompt, named=False, retries=3, deadline_s=25.0):
        self.record, self.estate, self.prompt = record, estate, prompt
        self.named, self.retries, self.deadline_s = named, retries, deadline_s
        self.pieces, self.position, self.complete, self.first, self.attempts = [], 0, False, None, 0

    def run(self, turn=0):
        end = time.monotonic() + self.deadline_s
        for attempt in range(self.retries + 1):
            instance = self.estate.instances[(turn + attempt) % len(self.estate.instances)]
            wait = self.attempt(instance, end - time.monotonic())
            if self.complete or wait is None:
                return
            time.sleep(wait)

    def attempt(self, instance, left):
        """Returns how long to wait before the next attempt, None for no other one."""
        ident = rig.new_id()
        self.attempts += 1
        fields = {"Host": "shop.example", "Wisteriahaven-Attempt-Id": ident, "Wisteriahaven-Deadline-Milliseconds": "%d" % (left * 1000),
                  "Wisteriahaven-Model": "m", "Wisteriahaven-Token-Counts": "1000,600", "Wisteriahaven-Prompt-Prefix": self.prompt, "X-Api-Key": "key"}
        if self.position:
            fields["Last-Event-Id"] = str(self.position)
            if self.named:
                fields["Resumes"] = self.first
        else:
            self.first = ident
        self.record("client sends %s to %s, prompt %s, Last-Event-Id %s" % (ident, instance.name, self.prompt, self.position or None))
        before = self.position
        try:
            with rig.socket.create_connection(instance.clients, 1) as conn:
                conn.settimeout(5)
                rig.send_head(conn, "POST", "/report/1", fields, b"question")
                reader = rig.Reader(conn)
                line, head = reader.head()
                if line.split(" ")[1] != "200":
                    body = reader.body(head)
                    self.record("client gets %s for %s, Retry-After %s, %s" % (line, ident, head.get("retry-after"), body.decode()))
                    return float(head["retry-after"]) if "retry-after" in head else 0.0
                self.receive(reader)
                self.complete = True
                self.record("stream %s ends as complete: events %d to %d of %s" % (ident, before + 1, self.position, self.versions(before)))
                return None
        except (EOFError, OSError) as err:
            self.record("connection of %s breaks after event %d (%s)" % (ident, self.position, type(err).__name__))
            return 0.0

    def receive(self, reader):
        text = b""
        while True:
            data = reader.chunk()
            if not data:
                return
            text += data
            while b"\n\n" in text:
                event, text = text.split(b"\n\n", 1)
                values = dict(line.split(b": ", 1) for line in event.split(b"\n") if b": " in line)
                self.position = int(values[b"id"])
                self.pieces.append((self.position, values[b"data"].decode().split("/")[0]))

    def versions(self, after=0):
        return sorted({version for number, version in self.pieces if number > after})
