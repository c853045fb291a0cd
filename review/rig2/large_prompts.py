"""Callers send prompts of 300,000 bytes to one router after the other, each its next one when it has the answer; then bookings.

With TROUBLE=0 the prompts have the size of the site's. Broken if more than half of the bookings that are unanswered at their route's
timeout are still unanswered half a second later, and eight or more are. Usage: large_prompts.py RECORD
"""
import base64
import json
import os
import random
import re
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time

HOST = 'svc.example'
TROUBLE = os.environ.get('TROUBLE') != '0'
PROMPT_BYTES = 300_000 if TROUBLE else 5_000
ROUTERS, CALLERS, SECONDS, CALM_S = 3, 16, 14, 9
LIMIT_MS, TIMEOUT_MS, GRACE_MS, BOOKINGS, MIN_UNANSWERED = 14_000, 1500, 500, 8, 8
NETWORK = '127.%d.%d.' % (random.randint(1, 250), random.randint(0, 250))
RECORD = open(sys.argv[1], 'w')
LOCK = threading.Lock()


def log(line):
    with LOCK:
        print(line, file=RECORD, flush=True)


class Reader:
    """Reads HTTP messages from a socket."""

    def __init__(self, sock):
        self.sock, self.buffer = sock, b''

    def fill(self):
        data = self.sock.recv(65536)
        self.buffer += data
        return bool(data)

    def take(self, length):
        while len(self.buffer) < length:
            if not self.fill():
                return None
        taken, self.buffer = self.buffer[:length], self.buffer[length:]
        return taken

    def until(self, mark):
        while mark not in self.buffer:
            if not self.fill():
                return None
        taken, _, self.buffer = self.buffer.partition(mark)
        return taken

    def message(self):
        """Returns first line, headers and body; None if the connection ends before."""
        head = self.until(b'\r\n\r\n')
        if head is None:
            return None
        lines = head.decode('latin1').split('\r\n')
        headers = {k.strip().lower(): v.strip() for k, _, v in (line.partition(':') for line in lines[1:])}
        body = b''
        if 'chunked' in headers.get('transfer-encoding', ''):
            while True:
                size = self.until(b'\r\n')
                part = None if size is None else self.take(int(size, 16) + 2)
                if part is None:
                    return None
                if part == b'\r\n':
                    return lines[0], headers, body
                body += part[:-2]
        body = self.take(int(headers.get('content-length', '0')))
        return None if body is None else (lines[0], headers, body)


class Server:
    """Serves each connection with a thread."""

    def __init__(self, host):
        self.listener = socket.create_server((host, 0), backlog=512)
        self.host, self.port = self.listener.getsockname()
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            sock, _ = self.listener.accept()
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self.run, args=(sock,), daemon=True).start()

    def run(self, sock):
        try:
            with sock:
                self.serve(sock)
        except OSError:
            pass  # The peer has closed the connection.


class Store(Server):
    """The calls of the platform's log that a router uses, in memory."""

    def __init__(self, host):
        self.topics, self.changed = {}, threading.Condition()
        super().__init__(host)

    def put(self, topic, key, value):
        with self.changed:
            self.topics.setdefault(topic, []).append(bytes([len(key)]) + key.encode() + json.dumps(value).encode())
            self.changed.notify_all()

    def serve(self, sock):
        reader = Reader(sock)
        while (request := reader.message()) is not None:
            path, _, query = request[0].split(' ')[1].partition('?')
            status, body = self.answer(path, dict(p.split('=', 1) for p in query.split('&') if '=' in p), request[2])
            sock.sendall(b'HTTP/1.1 %d x\r\nContent-Length: %d\r\n\r\n' % (status, len(body)) + body)

    def answer(self, path, query, content):
        with self.changed:
            log_of_topic = self.topics.setdefault(query.get('topic', ''), [])
            if path == '/v1/log-newest':
                newest = {}
                for offset, record in enumerate(log_of_topic):
                    key, value = record[1:1 + record[0]].decode(), record[1 + record[0]:]
                    newest.pop(key, None)
                    if value:
                        newest[key] = {'key': key, 'value': base64.b64encode(value).decode(), 'offset': offset}
                return 200, json.dumps({'items': list(newest.values()), 'hasMore': False, 'endOffset': len(log_of_topic)}).encode()
            if path == '/v1/log-read':
                start, end = int(query['from']), time.monotonic() + int(query.get('waitMs', 0)) / 1000
                while len(log_of_topic) <= start and time.monotonic() < end:
                    self.changed.wait(max(0, end - time.monotonic()))
                return 200, struct.pack('>qq', len(log_of_topic), 0) + b''.join(struct.pack('>i', len(r)) + r for r in log_of_topic[start:])
            if path != '/v1/log-append':
                return 404, b'{}'
            if 'at' in query and int(query['at']) != len(log_of_topic):
                return 412, json.dumps({'endOffset': len(log_of_topic)}).encode()
            while content:
                length = struct.unpack('>i', content[:4])[0]
                log_of_topic.append(content[4:4 + length])
                content = content[4 + length:]
            self.changed.notify_all()
            return 200, json.dumps({'endOffset': len(log_of_topic)}).encode()


class Worker(Server):
    """A worker that renews its entry; the stage is empty for the plain service."""

    def __init__(self, store, host, name, service, stage=''):
        self.name, self.stage = name, stage
        super().__init__(host)
        entry = {'service': service, 'address': '%s:%d' % (host, self.port), 'zone': 'z1', 'version': 'v1', 'slots': 128 if stage else 30,
                 'state': 'ready', 'coldRemainingMs': 0, 'sequence': 0, 'born': int(time.time() * 1000)}
        if stage:
            entry.update(stage=stage, models=[{'name': 'm', 'version': 1, 'adapters': []}])
        threading.Thread(target=self.beat, args=(store, entry), daemon=True).start()

    def beat(self, store, entry):
        while True:
            store.put('keyed.servers', self.name, entry)
            time.sleep(1.2)

    def serve(self, sock):
        request = Reader(sock).message()
        if request is None:
            return
        headers = request[1]
        names = 'Magnoliavane-Attempt-Id: %s\r\n' % headers.get('magnoliavane-attempt-id', '')
        receipt = names + 'Magnoliavane-Response-Signature: %x\r\n' % (hash(names) & 0xffffffff)
        if 'magnoliavane-expect-instance' not in headers:
            sock.sendall(b'HTTP/1.1 404 x\r\nContent-Length: 0\r\n\r\n')
        elif headers['magnoliavane-expect-instance'] != self.name:
            sock.sendall(('HTTP/1.1 421 x\r\n%sContent-Length: 0\r\n\r\n' % names).encode())
        elif self.stage == 'prefill':
            time.sleep(0.02)
            body = '{"kvHandle":"%x","tokens":1000,"version":1}' % random.getrandbits(40)
            sock.sendall(('HTTP/1.1 200 x\r\n%sContent-Length: %d\r\n\r\n%s' % (names, len(body), body)).encode())
        elif self.stage == 'decode':
            first = int(headers.get('last-event-id') or 0) + 1
            events = ''.join('id: %d\ndata: token\n\n' % i for i in range(first, 6))
            sock.sendall(('HTTP/1.1 200 x\r\n%sContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n'
                          % (receipt, len(events), events)).encode())
        else:
            sock.sendall(('HTTP/1.1 200 x\r\n%sContent-Length: 2\r\n\r\nok' % receipt).encode())


class Router:
    """A router process, started by the run line and the template of the deploy file."""

    def __init__(self, store, number, folder):
        self.name, self.host = 'edge-%d' % number, NETWORK + str(10 + number)
        listeners = [socket.create_server((self.host, 0)) for _ in range(4)]
        self.callers, self.readiness, directory, peer = [s.getsockname()[1] for s in listeners]
        for listener in listeners:
            listener.close()
        text = open('platform/settings.toml.template').read()
        text = text.replace('{{#bootstrap}}true{{/bootstrap}}{{^bootstrap}}false{{/bootstrap}}', 'true')
        text = text.replace('{{#bounds.leaseMs}}', '').replace('{{/bounds.leaseMs}}{{^bounds.leaseMs}}0{{/bounds.leaseMs}}', '')
        values = {'nodeName': self.name, 'zone': 'z1', 'platform.address': '%s:%d' % (store.host, store.port),
                  'listen.frontend': '%s:%d' % (self.host, self.callers), 'listen.readiness': '%s:%d' % (self.host, self.readiness),
                  'listen.registry': '%s:%d' % (self.host, directory), 'portRange.0': peer, 'bounds.retryBudgetRatio': 0.2,
                  'bounds.budgetSlack': 54, 'bounds.retryWindowS': 10, 'bounds.graceS': 8, 'bounds.drainMs': 2000,
                  'bounds.configApplyMs': 2000, 'bounds.contactMs': 3000, 'heartbeatMs': 1200, 'bounds.leaseMs': 3000}
        for name, value in values.items():
            text = text.replace('{{%s|json}}' % name, json.dumps(value))
        settings = os.path.join(folder, self.name + '.toml')
        with open(settings, 'w') as out:
            out.write(text)
        run = re.search(r'^run = "(.*)"$', open('deploy/system.toml').read(), re.M).group(1).split()
        environment = {k: os.environ[k] for k in ('PATH', 'HOME', 'JAVA_HOME', 'LANG') if k in os.environ}
        environment['MAGNOLIAVANE_BOOT'] = settings
        self.process = subprocess.Popen(run, env=environment, stdout=open(os.path.join(folder, self.name), 'w'), stderr=subprocess.STDOUT)

    def await_ready(self):
        end = time.monotonic() + 20
        while time.monotonic() < end:
            try:
                if call(self.host, self.readiness, b'GET /v1/readyz HTTP/1.1\r\nHost: x\r\n\r\n', 1)[0].split(' ')[1] == '200':
                    return
            except (OSError, TypeError):
                pass
            time.sleep(0.05)
        raise OSError(self.name + ' is not ready')


def call(host, port, request, timeout_s):
    with socket.create_connection((host, port), timeout=timeout_s) as sock:
        sock.sendall(request)
        return Reader(sock).message()


def configuration():
    plain = {'name': 'book', 'host': HOST, 'pathPrefix': '/book/', 'type': 'non_idempotent', 'timeoutMs': TIMEOUT_MS, 'targetLatencyMs': 386,
             'priority': 2, 'service': 'app', 'maxAttempts': 2}
    stream = {'name': 'brief', 'host': HOST, 'pathPrefix': '/brief/', 'type': 'streaming', 'timeoutMs': 14000, 'targetLatencyMs': 900,
              'targetGapMs': 300, 'priority': 1, 'service': 'llm', 'maxAttempts': 2, 'sticky': True, 'resumable': True}
    engine = {'slots': 128, 'kvCapacity': 53213, 'kvBytes': 18432, 'linkMbps': 350000.0, 'kvHoldS': 0.5, 'switchS': 6.0, 'models': [{'name': 'm'}]}
    services = [{'name': 'app', 'healthPath': '/healthz', 'maxConnections': 100, 'protocol': 'h1', 'tls': False},
                {'name': 'llm', 'healthPath': '/healthz', 'maxConnections': 620, 'protocol': 'h1', 'tls': False, 'engine': engine}]
    limits = {'maxHeaderBytes': 16384, 'maxBodyBytes': 4194304, 'headerTimeoutMs': 3000, 'idleTimeoutMs': 15000}
    return {'version': 1, 'routes': [plain, stream], 'services': services, 'limits': limits}


def send_prompts(router, end, counts):
    body = os.urandom(PROMPT_BYTES)
    while time.monotonic() < end:
        name = '%016x' % random.getrandbits(64)
        head = ('POST /brief/1 HTTP/1.1\r\nHost: %s\r\nMagnoliavane-Attempt-Id: %s\r\nMagnoliavane-Deadline-Ms: %d\r\nMagnoliavane-Model: m\r\n'
                'Magnoliavane-Token-Count: 1000,5\r\nMagnoliavane-Prompt-Prefix: a:50,%s:950\r\nContent-Length: %d\r\n\r\n'
                % (HOST, name, LIMIT_MS, name[:7], len(body)))
        try:
            answer = call(router.host, router.callers, head.encode() + body, (LIMIT_MS + GRACE_MS) / 1000)
            outcome = 'closed without an answer' if answer is None else answer[0].split(' ')[1]
        except OSError as e:
            outcome = 'no answer' if isinstance(e, TimeoutError) else type(e).__name__
        with LOCK:
            counts[outcome] = counts.get(outcome, 0) + 1


def book(router, times):
    for _ in range(BOOKINGS):
        name, start = '%016x' % random.getrandbits(64), time.monotonic()
        request = ('POST /book/1 HTTP/1.1\r\nHost: %s\r\nMagnoliavane-Attempt-Id: %s\r\nMagnoliavane-Deadline-Ms: %d\r\nContent-Length: 0\r\n\r\n'
                   % (HOST, name, TIMEOUT_MS))
        try:
            answer = call(router.host, router.callers, request.encode(), 2.2)
            outcome = 'closed' if answer is None else answer[0]
        except OSError as e:
            outcome = repr(e)
        millis = int((time.monotonic() - start) * 1000)
        log('%s booking %s: %s after %d ms' % (router.name, name, outcome, millis))
        with LOCK:
            times.append(millis)
    log('%s process has ended: %s' % (router.name, router.process.poll()))


def main(folder):
    store = Store(NETWORK + '2')
    store.put('keyed.op', 'config', configuration())
    for i in range(3):
        Worker(store, NETWORK + str(100 + i), 'i-%d' % i, 'app')
        Worker(store, NETWORK + str(110 + i), 'd-%d' % i, 'llm', 'decode')
    for i in range(2):
        Worker(store, NETWORK + str(120 + i), 'p-%d' % i, 'llm', 'prefill')
    routers = []
    try:
        for i in range(ROUTERS):
            routers.append(Router(store, i + 1, folder))
        for router in routers:
            router.await_ready()
        for router in routers:
            counts, end = {}, time.monotonic() + SECONDS
            for _ in range(CALLERS):
                threading.Thread(target=send_prompts, args=(router, end, counts), daemon=True).start()
            time.sleep(SECONDS + 1)
            log('%s prompts of %d bytes: %s' % (router.name, PROMPT_BYTES, counts))
        time.sleep(CALM_S)
        times, threads = [], []
        for router in routers:
            threads.append(threading.Thread(target=book, args=(router, times)))
            threads[-1].start()
        for thread in threads:
            thread.join()
        unanswered = sum(t > TIMEOUT_MS for t in times)
        late = sum(t > TIMEOUT_MS + GRACE_MS for t in times)
        broken = late >= MIN_UNANSWERED and late * 2 > unanswered
        log('bookings=%d unanswered at %d ms=%d and at %d ms=%d' % (len(times), TIMEOUT_MS, unanswered, TIMEOUT_MS + GRACE_MS, late))
        log('RESULT: the rule ' + ('was broken' if broken else 'held'))
        return 1 if broken else 0
    finally:
        for router in routers:
            router.process.kill()
            router.process.wait()


if __name__ == '__main__':
    with tempfile.TemporaryDirectory() as temporary:
        try:
            status = main(temporary)
        except Exception as failure:
            log('could not run: %r' % failure)
            status = 2
    os._exit(status)
