"""Handling of one request by a simulated runner, with injected response faults."""

from .http import chunk, write
from .notes import Run

RESPONSE_FAULTS = ("lose", "cut", "surplus", "noise", "fail", "silent")


def now_ms(runner):
    return runner.host.seconds() * 1000


class Job:
    """One request received by a runner; `line` is its connection."""

    def __init__(self, line, message):
        self.line, self.runner, self.message = line, line.runner, message
        self.fields, self.run, self.fault, self.over = message.fields, None, "", False
        self.came_ms = now_ms(self.runner)

    def field(self, name):
        return self.fields.get(name, b"").decode()

    def arrive(self):
        runner, target = self.runner, self.field(b"x-target-instance")
        if target and target != runner.id:
            return self.reject(421)
        if not self.field(b"x-attempt-id"):
            return self.reject(400)
        if "shed" in runner.odds and runner.random.random() < runner.odds["shed"]:
            return self.reject(503)
        if len(runner.working) < runner.slots:
            return self.begin()
        if len(runner.queue) >= runner.slots // 2:
            return self.reject(503)
        runner.queue.append(self)
        runner.host.callLater(float(self.field(b"x-time-remaining") or 1000) / 1000, self.queue_timeout)

    def queue_timeout(self):
        if self in self.runner.queue:
            self.runner.queue.remove(self)
            self.reject(503)

    def response_head(self, status, more=(), executed=True):
        runner = self.runner
        fields = [(b"X-Attempt-Id", self.field(b"x-attempt-id").encode()), *more]
        if not executed:
            fields.append((b"X-Not-Executed", b"1"))
        if runner.tells_load:
            fields.append((b"X-Instance-Load", b"%d,%d,%d" % (len(runner.working), len(runner.queue), runner.slots)))
        if runner.draining or runner.random.random() < 0.03:
            fields.append((b"Connection", b"close"))
        return b"HTTP/1.1 %d X" % status, fields

    def reject(self, status):
        start_line, fields = self.response_head(status, executed=False)
        self.runner.notes.refusals.append((self.field(b"x-attempt-id"), self.runner.id))
        self.over = True
        self.send(write(start_line, [*fields, (b"Content-Length", b"0")]))
        self.finish(fields)

    def send(self, data):
        if not self.line.gone:
            self.line.transport.write(data)

    def finish(self, fields=()):
        self.line.job = None
        if not self.line.gone and dict(fields).get(b"Connection") == b"close":
            self.line.transport.loseConnection()

    def begin(self):
        runner, request_line = self.runner, self.message.start.decode().split(" ")
        runner.working.append(self)
        runner.serial += 1
        seal = f"{runner.id}.{runner.serial}"
        draw = runner.random.random()
        for fault in RESPONSE_FAULTS:
            draw -= runner.odds.get(fault, 0.0)
            if draw < 0:
                self.fault = fault
                break
        self.run = Run(
            self.field(b"x-attempt-id"),
            runner.id,
            runner.service,
            now_ms(runner),
            request_line[0],
            request_line[1],
            bytes(self.message.body),
            seal,
            self.field(b"x-operation-key"),
            self.field(b"x-previous-turn"),
            self.field(b"last-event-id"),
            self.came_ms,
            headers=self.message.lines,
        )
        runner.notes.runs.append(self.run)
        if self.fields.get(b"x-token-count"):
            return self.stream()
        self.run.answer = f"{seal}|{self.run.try_id}|".encode() * 3
        self.call_later(runner.random.uniform(0.3, 3) * runner.pace_ms, self.respond)

    def call_later(self, wait_ms, callback, *args):
        self.runner.host.callLater(wait_ms / 1000, lambda: None if self.over else callback(*args))

    def respond(self):
        run = self.run
        if self.fault == "silent":
            return None
        if self.fault == "lose":
            return self.abort()
        if self.fault == "noise":
            self.send(b"\x00\x01 what is this\r\n\r\n")
            return self.abort()
        if self.fault == "fail":
            run.status = 500
        start_line, fields = self.response_head(run.status, [(b"X-Server-Seal", run.seal.encode())])
        response = write(start_line, [*fields, (b"Content-Length", b"%d" % len(run.answer))], run.answer)
        if self.fault == "cut":
            self.send(response[: -len(run.answer) // 2])
            return self.abort()
        run.done = True
        self.send(response)
        self.send_surplus(response)
        return self.end(fields)

    def send_surplus(self, response):
        if self.fault != "surplus":
            return
        if self.runner.random.random() < 0.5:
            self.line.late = response
        else:
            self.send(response)

    def stream(self):
        run = self.run
        first = int(run.last_event) + 1 if run.last_event else 1
        run.first, run.total = first, 1 + sum(run.try_id.encode()) % 7
        if self.fault == "fail":
            run.status = 500
            return self.call_later(30, self.send_failure)
        self.call_later(self.runner.random.uniform(0.5, 3) * self.runner.pace_ms, self.start_stream, first)
        return None

    def send_failure(self):
        start_line, fields = self.response_head(
            500, [(b"X-Server-Seal", self.run.seal.encode()), (b"Content-Length", b"0")]
        )
        self.send(write(start_line, fields))
        self.end(fields)

    def start_stream(self, first):
        if self.fault in ("silent", "lose", "noise"):
            return self.respond()
        start_line, self.stream_fields = self.response_head(
            200,
            [
                (b"X-Server-Seal", self.run.seal.encode()),
                (b"Content-Type", b"text/event-stream"),
                (b"Transfer-Encoding", b"chunked"),
            ],
        )
        self.send(write(start_line, self.stream_fields))
        return self.send_event(first)

    def send_event(self, number):
        run, random = self.run, self.runner.random
        if number > run.total:
            run.done = True
            self.send(b"0\r\n\r\n")
            self.send_surplus(
                b"HTTP/1.1 200 X\r\nX-Attempt-Id: other\r\nX-Server-Seal: s\r\nContent-Length: 1\r\n\r\nx"
            )
            return self.end(self.stream_fields)
        if self.fault == "cut" and random.random() < 0.4:
            return self.abort()
        data = f"{run.seal}/{number}".encode()
        run.pieces.append(data)
        raw = chunk(b"id: %d\ndata: %s\n\n" % (number, data))
        if random.random() < 0.2:
            split = random.randrange(1, len(raw))
            self.send(raw[:split])
            self.call_later(5, self.send, raw[split:])
            return self.call_later(self.runner.pace_ms * 0.5 + 6, self.send_event, number + 1)
        self.send(raw)
        return self.call_later(random.uniform(0.2, 1) * self.runner.pace_ms, self.send_event, number + 1)

    def abort(self):
        self.run.broke = True
        if not self.line.gone:
            self.line.transport.abortConnection()
        self.dropped()

    def end(self, fields):
        self.release()
        self.finish(fields)

    def dropped(self):
        if self in self.runner.queue:
            self.runner.queue.remove(self)
        self.line.job = None
        if not self.over and self.run is not None:
            self.release()

    def release(self):
        self.over = True
        if self.run is not None:
            self.run.over = True
        runner = self.runner
        if self in runner.working:
            runner.working.remove(self)
        while runner.queue and len(runner.working) < runner.slots:
            runner.queue.popleft().begin()
