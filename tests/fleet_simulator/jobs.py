"""One request at a runner, and the ways in which its answer goes wrong."""

from .http import chunk, write
from .notes import Run

TROUBLES = ("lose", "cut", "surplus", "noise", "fail", "silent")


def now_ms(runner):
    return runner.host.seconds() * 1000


class Job:
    """One request at a runner."""

    def __init__(self, line, message):
        self.line, self.runner, self.message = line, line.runner, message
        self.fields, self.run, self.trouble, self.over = message.fields, None, "", False
        self.came_ms = now_ms(self.runner)

    def field(self, name):
        return self.fields.get(name, b"").decode()

    def arrive(self):
        runner, names = self.runner, self.field(b"x-target-instance")
        if names and names != runner.id:
            return self.turn_away(421)
        if not self.field(b"x-attempt-id"):
            return self.turn_away(400)
        if "shed" in runner.odds and runner.random.random() < runner.odds["shed"]:
            return self.turn_away(503)
        if len(runner.working) < runner.slots:
            return self.begin()
        if len(runner.queue) >= runner.slots // 2:
            return self.turn_away(503)
        runner.queue.append(self)
        runner.host.callLater(float(self.field(b"x-time-remaining") or 1000) / 1000, self.waited)

    def waited(self):
        if self in self.runner.queue:
            self.runner.queue.remove(self)
            self.turn_away(503)

    def head(self, status, more=(), executed=True):
        runner = self.runner
        fields = [(b"X-Attempt-Id", self.field(b"x-attempt-id").encode()), *more]
        if not executed:
            fields.append((b"X-Not-Executed", b"1"))
        if runner.tells_load:
            fields.append((b"X-Instance-Load", b"%d,%d,%d" % (len(runner.working), len(runner.queue), runner.slots)))
        if runner.draining or runner.random.random() < 0.03:
            fields.append((b"Connection", b"close"))
        return b"HTTP/1.1 %d X" % status, fields

    def turn_away(self, status):
        start, fields = self.head(status, executed=False)
        self.over = True
        self.send(write(start, [*fields, (b"Content-Length", b"0")]))
        self.finish(fields)

    def send(self, data):
        if not self.line.gone:
            self.line.transport.write(data)

    def finish(self, fields=()):
        self.line.job = None
        if not self.line.gone and dict(fields).get(b"Connection") == b"close":
            self.line.transport.loseConnection()

    def begin(self):
        runner, line = self.runner, self.message.start.decode().split(" ")
        runner.working.append(self)
        runner.serial += 1
        seal = f"{runner.id}.{runner.serial}"
        odds = runner.random.random()
        for trouble in TROUBLES:
            odds -= runner.odds.get(trouble, 0.0)
            if odds < 0:
                self.trouble = trouble
                break
        self.run = Run(
            self.field(b"x-attempt-id"),
            runner.id,
            runner.service,
            now_ms(runner),
            line[0],
            line[1],
            bytes(self.message.body),
            seal,
            self.field(b"x-operation-key"),
            self.field(b"x-previous-turn"),
            self.field(b"last-event-id"),
            self.came_ms,
        )
        runner.notes.runs.append(self.run)
        if self.fields.get(b"x-token-count"):
            return self.stream()
        self.run.answer = f"{seal}|{self.run.try_id}|".encode() * 3
        self.after(runner.random.uniform(0.3, 3) * runner.pace_ms, self.answer)

    def after(self, wait_ms, call, *args):
        self.runner.host.callLater(wait_ms / 1000, lambda: None if self.over else call(*args))

    def answer(self):
        run = self.run
        if self.trouble == "silent":
            return None
        if self.trouble == "lose":
            return self.break_off()
        if self.trouble == "noise":
            self.send(b"\x00\x01 what is this\r\n\r\n")
            return self.break_off()
        if self.trouble == "fail":
            run.status = 500
        start, fields = self.head(run.status, [(b"X-Server-Seal", run.seal.encode())])
        whole = write(start, [*fields, (b"Content-Length", b"%d" % len(run.answer))], run.answer)
        if self.trouble == "cut":
            self.send(whole[: -len(run.answer) // 2])
            return self.break_off()
        run.done = True
        self.send(whole)
        self.surplus(whole)
        return self.end(fields)

    def surplus(self, whole):
        if self.trouble != "surplus":
            return
        if self.runner.random.random() < 0.5:
            self.line.late = whole
        else:
            self.send(whole)

    def stream(self):
        run = self.run
        first = int(run.last_event) + 1 if run.last_event else 1
        run.first, run.total = first, 1 + sum(run.try_id.encode()) % 7
        if self.trouble == "fail":
            run.status = 500
            return self.after(30, self.answer_failed)
        self.after(self.runner.random.uniform(0.5, 3) * self.runner.pace_ms, self.open, first)
        return None

    def answer_failed(self):
        start, fields = self.head(500, [(b"X-Server-Seal", self.run.seal.encode()), (b"Content-Length", b"0")])
        self.send(write(start, fields))
        self.end(fields)

    def open(self, first):
        if self.trouble in ("silent", "lose", "noise"):
            return self.answer()
        start, self.stream_fields = self.head(
            200,
            [
                (b"X-Server-Seal", self.run.seal.encode()),
                (b"Content-Type", b"text/event-stream"),
                (b"Transfer-Encoding", b"chunked"),
            ],
        )
        self.send(write(start, self.stream_fields))
        return self.event(first)

    def event(self, number):
        run, random = self.run, self.runner.random
        if number > run.total:
            run.done = True
            self.send(b"0\r\n\r\n")
            self.surplus(b"HTTP/1.1 200 X\r\nX-Attempt-Id: other\r\nX-Server-Seal: s\r\nContent-Length: 1\r\n\r\nx")
            return self.end(self.stream_fields)
        if self.trouble == "cut" and random.random() < 0.4:
            return self.break_off()
        data = f"{run.seal}/{number}".encode()
        run.pieces.append(data)
        raw = chunk(b"id: %d\ndata: %s\n\n" % (number, data))
        if random.random() < 0.2:
            at = random.randrange(1, len(raw))
            self.send(raw[:at])
            self.after(5, self.send, raw[at:])
            return self.after(self.runner.pace_ms * 0.5 + 6, self.event, number + 1)
        self.send(raw)
        return self.after(random.uniform(0.2, 1) * self.runner.pace_ms, self.event, number + 1)

    def break_off(self):
        self.run.broke = True
        if not self.line.gone:
            self.line.transport.abortConnection()
        self.dropped()

    def end(self, fields):
        self.free()
        self.finish(fields)

    def dropped(self):
        if self in self.runner.queue:
            self.runner.queue.remove(self)
        self.line.job = None
        if not self.over and self.run is not None:
            self.free()

    def free(self):
        self.over = True
        if self.run is not None:
            self.run.over = True
        runner = self.runner
        if self in runner.working:
            runner.working.remove(self)
        while runner.queue and len(runner.working) < runner.slots:
            runner.queue.popleft().begin()
