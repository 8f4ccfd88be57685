#!/usr/bin/env python3
"""Runs the processes of two builds in one system on loopback: mixed_builds.py OLD NEW [--seconds S] [--out FOLDER]

OLD and NEW are folders that hold the programs `granitelead-proxy` and the control plane's (`marker`, or another name by
--old-control and --new-control). Three control processes and three gatekeepers serve clients of two tenants, one with a
quota, while an operator sends a new configuration each second. Stages, each under traffic:

  old          all processes of OLD
  rolling      one process after the other ends (SIGTERM) and starts as NEW on the same data directory
  new-restart  all control processes are killed and start as NEW on the directories written so far
  back         one process after the other goes back to OLD
  old-restart  all control processes are killed and start as OLD on directories that NEW wrote

Checks: a configuration that was acknowledged is read back whole after every stage; each server is known after each
stage; a tenant's executed requests stay within the quota rule in every window; a request that may run
once runs once; no request is left without an answer, and none is answered with a failure outside the two restarts of
all control processes. Exit 1 where one of them is broken. Traffic goes to 127.77.0.0/16 only and is bounded in time.
"""
import argparse, collections, http.client, http.server, itertools, json, os, pathlib, signal, subprocess, sys, threading, time

CONTROL, GATEKEEPERS, SERVERS = 3, 3, 4
CONTROL_PORT, INTERNAL_PORT, FRONT_PORT, READY_PORT, SERVER_PORT = 8100, 8300, 8400, 8500, 8600
RATE, BURST = 60, 60
# The quota rule: (rate * window + burst) * (1 + overshoot) + slack requests in any window.
QUOTA_WINDOW_S, QUOTA_OVERSHOOT, QUOTA_SLACK = 5, 0.1, 20
GRACE_S = 4
# Time between two restarts while processes are replaced one by one.
ROLL_PAUSE_S = 3


def control_ip(n): return f'127.77.1.{n + 1}'
def gatekeeper_ip(n): return f'127.77.2.{n + 1}'
def server_ip(n): return f'127.77.3.{n + 1}'


class System:
    def __init__(self, out, programs):
        self.out, self.programs, self.children = pathlib.Path(out), programs, {}
        self.out.mkdir(parents=True)

    def settings(self, kind, n):
        ip = control_ip(n) if kind == 'control' else gatekeeper_ip(n)
        folder = self.out / f'{kind}-{n}'
        folder.mkdir(exist_ok=True)
        seeds = ', '.join(f'"{control_ip(i)}:{CONTROL_PORT}"' for i in range(CONTROL))
        listen = (f'control-plane = "{ip}:{CONTROL_PORT}"' if kind == 'control'
                  else f'front = "{ip}:{FRONT_PORT}"\nreadiness = "{ip}:{READY_PORT}"')
        first = 'false' if any(folder.iterdir()) else 'true'
        file = self.out / f'{kind}-{n}.toml'
        file.write_text(f'''node-name = "{kind}-{n}"
zone = "z{n}"
ip-address = "{ip}"
internal-port-range = [{INTERNAL_PORT}, {INTERNAL_PORT}]
seed-nodes = [{seeds}]
first-start = {first}
data-directory = "{folder}"
heartbeat-interval-ms = 1500
bounds = ["grace-period-s={GRACE_S}", "quota-window-s={QUOTA_WINDOW_S}", "quota-overshoot={QUOTA_OVERSHOOT}", "quota-slack={QUOTA_SLACK}"]
[listen-addresses]
{listen}
[limits]
memory-mb = 256
file-descriptors = 4096
[fault-tolerance]
machine-losses = 1
''')
        return file

    def start(self, kind, n, build):
        environment = dict(os.environ, GRANITELEAD_NODE_FILE=str(self.settings(kind, n)))
        log = open(self.out / f'{kind}-{n}.log', 'ab')
        program = self.programs[build][kind]
        self.children[kind, n] = subprocess.Popen([program], env=environment, stdout=log, stderr=log)

    def stop(self, kind, n, how=signal.SIGTERM):
        child = self.children.pop((kind, n))
        child.send_signal(how)
        try:
            child.wait(GRACE_S + 10)
        except subprocess.TimeoutExpired:
            child.kill()
            child.wait()
            return f'{kind}-{n} did not end after {how.name}'

    def end(self):
        for child in self.children.values():
            child.kill()
            child.wait()


def call(ip, port, method, path, body=None, headers=None, timeout=2.5):
    connection = http.client.HTTPConnection(ip, port, timeout=timeout)
    try:
        connection.request(method, path, body, headers or {})
        answer = connection.getresponse()
        return answer.status, answer.read()
    finally:
        connection.close()


class Servers:
    """Stand-ins that note each execution: its time, tenant and request."""

    def __init__(self, stop):
        self.ran, self.lock, self.stop = [], threading.Lock(), stop
        for n in range(SERVERS):
            threading.Thread(target=self.serve, args=(n,), daemon=True).start()
            threading.Thread(target=self.beat, args=(n,), daemon=True).start()

    def serve(self, n):
        note = self

        class Handler(http.server.BaseHTTPRequestHandler):
            protocol_version = 'HTTP/1.1'
            disable_nagle_algorithm = True

            def do_GET(self):
                request = self.headers.get('X-Granitelead-Attempt-Id')
                if self.path != '/health':
                    with note.lock:
                        note.ran.append((time.monotonic(), self.headers.get('X-Granitelead-Tenant-Name'), request, self.path))
                    time.sleep(0.01)
                self.send_response(200)
                self.send_header('Content-Length', '7')
                if request:
                    self.send_header('X-Granitelead-Attempt-Id', request)
                self.send_header('X-Granitelead-Instance-Id', f'i-{n}')
                self.send_header('X-Granitelead-Server-Seal', 'stand-in')
                self.end_headers()
                self.wfile.write(b'served\n')

            do_POST = do_GET

            def log_message(self, *_):
                pass

        http.server.ThreadingHTTPServer.request_queue_size = 256
        http.server.ThreadingHTTPServer((server_ip(n), SERVER_PORT), Handler).serve_forever()

    def beat(self, n):
        at = n
        for sequence in itertools.count(1):
            body = json.dumps({
                'address': f'{server_ip(n)}:{SERVER_PORT}',
                'information': {'service-name': 'stand-in', 'version': 'v1', 'zone': f'z{n % 3}', 'capacity-slots': 16},
                'status': {'state': 'ready', 'call-sequence': sequence, 'cold-remaining-ms': 0}})
            for _ in range(CONTROL):
                try:
                    status, _ = call(control_ip(at % CONTROL), CONTROL_PORT, 'POST', f'/Instances.Heartbeat/i-{n}', body, {'Host': 'control'}, 1)
                    if status == 200:
                        break
                except OSError:
                    pass
                except http.client.HTTPException:
                    pass
                at += 1
            if self.stop.wait(1.5):
                return


class Operator:
    def __init__(self, stop):
        self.acknowledged, self.sent, self.stop, self.thread = 0, {}, stop, None
        self.pause = threading.Event()

    def body(self, version):
        return {
            'version': f'{version:08x}',
            'limits': {'max-header-bytes': 16384, 'max-body-bytes': 1048576, 'header-timeout-ms': 3000, 'idle-timeout-ms': 15000},
            'tenants': [{'name': 'limited', 'api-keys': ['key-limited'], 'requests-per-s': RATE, 'burst-size': BURST},
                        {'name': 'free', 'api-keys': ['key-free']}],
            'listeners': [{'host-name': 'try.example', 'rules': [
                {'name': 'safe', 'route-kind': 'safe_method', 'target-latency-ms': 500, 'match-conditions': {'path-prefix': '/safe/'},
                 'route-action': {'service-name': 'stand-in', 'timeout-ms': 2000, 'max-attempts': 2}},
                {'name': 'once', 'route-kind': 'unsafe_method', 'target-latency-ms': 500, 'match-conditions': {'path-prefix': '/once/'},
                 'route-action': {'service-name': 'stand-in', 'timeout-ms': 2000, 'max-attempts': 2}},
                {'name': f'r{version}', 'route-kind': 'safe_method', 'target-latency-ms': 500, 'match-conditions': {'path-prefix': f'/v{version}/'},
                 'route-action': {'service-name': 'stand-in', 'timeout-ms': 2000, 'max-attempts': 2}}]}],
            'upstream-clusters': [{'name': 'stand-in', 'health-check-path': '/health', 'connection-limit': 400}]}

    def send(self, version, until):
        body = self.sent[version] = self.body(version)
        at = version
        while time.monotonic() < until:
            try:
                status, _ = call(control_ip(at % CONTROL), CONTROL_PORT, 'POST', '/Configuration.Replace', json.dumps(body), {'Host': 'control'}, 1)
                if status == 200:
                    self.acknowledged = version
                    return True
            except (OSError, http.client.HTTPException):
                pass
            at += 1
            time.sleep(0.1)
        return False

    def run(self):
        version = self.acknowledged
        while not self.stop.wait(1.0):
            if not self.pause.is_set():
                version += 1
                self.send(version, time.monotonic() + 15)

    def read(self):
        newest = None
        for n in range(CONTROL):
            try:
                status, body = call(control_ip(n), CONTROL_PORT, 'GET', '/Configuration.Read', None, {'Host': 'control'})
                if status == 200:
                    read = json.loads(body)
                    if newest is None or read['version'] > newest['version']:
                        newest = read
            except (OSError, http.client.HTTPException):
                pass
        return newest


class Clients:
    def __init__(self, stop, stage):
        self.results, self.unanswered, self.lock, self.stop, self.stage = collections.Counter(), [], threading.Lock(), stop, stage
        self.ids = itertools.count(1)
        for n in range(6):
            threading.Thread(target=self.run, args=(n, 'limited', 'safe', 0.03), daemon=True).start()
        for n in range(3):
            threading.Thread(target=self.run, args=(n, 'free', 'safe', 0.03), daemon=True).start()
            threading.Thread(target=self.run, args=(n, 'free', 'once', 0.05), daemon=True).start()

    def run(self, n, tenant, route, pause):
        at, connection = n, None
        while not self.stop.wait(pause):
            request = f'{next(self.ids):08x}'
            headers = {'Host': 'try.example', 'Authorization': f'Bearer key-{tenant}', 'X-Granitelead-Attempt-Id': request,
                       'X-Granitelead-Deadline-Milliseconds': '2000'}
            outcome = None
            try:
                if connection is None:
                    connection = http.client.HTTPConnection(gatekeeper_ip(at % GATEKEEPERS), FRONT_PORT, timeout=3)
                    connection.connect()
                new = connection.sock
                connection.request('GET' if route == 'safe' else 'POST', f'/{route}/x', None, headers)
                answer = connection.getresponse()
                answer.read()
                outcome = answer.status
                if answer.will_close:
                    connection.close()
                    connection = None
            except ConnectionRefusedError:
                connection, outcome = None, 'refused connection'
                at += 1
            except (OSError, http.client.HTTPException) as error:
                connection.close()
                connection, outcome = None, f'no answer ({type(error).__name__})'
                at += 1
            with self.lock:
                self.results[self.stage[0], tenant, route, outcome] += 1


def over_quota(ran):
    """How many executions of the limited tenant lay beyond what the quota rule allows in the worst window."""
    times = sorted(at for at, tenant, _, _ in ran if tenant == 'limited')
    begin, most = 0, 0
    for end, at in enumerate(times):
        while at - times[begin] > QUOTA_WINDOW_S:
            begin += 1
        most = max(most, end - begin + 1)
    return most, (RATE * QUOTA_WINDOW_S + BURST) * (1 + QUOTA_OVERSHOOT) + QUOTA_SLACK


def main():
    parse = argparse.ArgumentParser()
    parse.add_argument('old'), parse.add_argument('new')
    parse.add_argument('--seconds', type=float, default=4.0, help='of each stage after its last start')
    parse.add_argument('--out', default=f'/tmp/mixed-{os.getpid()}')
    parse.add_argument('--old-control', default='marker'), parse.add_argument('--new-control', default='marker')
    args = parse.parse_args()
    programs = {'old': {'control': f'{args.old}/{args.old_control}', 'gatekeeper': f'{args.old}/granitelead-proxy'},
                'new': {'control': f'{args.new}/{args.new_control}', 'gatekeeper': f'{args.new}/granitelead-proxy'}}
    system, stop, stage, faults = System(args.out, programs), threading.Event(), ['start'], []
    everything = [('control', n) for n in range(CONTROL)] + [('gatekeeper', n) for n in range(GATEKEEPERS)]
    try:
        for kind, n in everything:
            system.start(kind, n, 'old')
        servers, operator = Servers(stop), Operator(stop)
        if not operator.send(1, time.monotonic() + 30):
            sys.exit('the first configuration was not acknowledged')
        until = time.monotonic() + 20
        while time.monotonic() < until:
            try:
                if all(call(gatekeeper_ip(n), READY_PORT, 'GET', '/readiness')[0] == 200 for n in range(GATEKEEPERS)):
                    break
            except (OSError, http.client.HTTPException):
                pass
            time.sleep(0.1)
        time.sleep(3)
        clients = Clients(stop, stage)
        changes = threading.Thread(target=operator.run, daemon=True)
        changes.start()

        def settle(name):
            time.sleep(args.seconds)
            operator.pause.set()
            time.sleep(2)
            last, read = operator.acknowledged, operator.read()
            sent = operator.sent.get(int(read['version'], 16)) if read else None
            if read is None or int(read['version'], 16) < last or read['listeners'] != sent['listeners'] or read['tenants'] != sent['tenants']:
                faults.append(f'{name}: acknowledged {last:08x}, read back {read and read["version"]}')
            statuses = []
            for n in range(CONTROL):
                try:
                    statuses.append(json.loads(call(control_ip(n), CONTROL_PORT, 'GET', '/System.Status', None, {'Host': 'control'})[1]))
                except (OSError, http.client.HTTPException, ValueError) as error:
                    faults.append(f'{name}: status of control-{n}: {error}')
            known = [status.get('servers') for status in statuses]
            if any(count != SERVERS for count in known):
                faults.append(f'{name}: servers known {known}, not {SERVERS} everywhere')
            in_force = 0
            for n in range(GATEKEEPERS):
                try:
                    status, _ = call(gatekeeper_ip(n), FRONT_PORT, 'GET', f'/v{last}/x', None, {'Host': 'try.example', 'Authorization': 'Bearer key-free', 'X-Granitelead-Attempt-Id': f'probe-{name}-{n}', 'X-Granitelead-Deadline-Milliseconds': '2000'})
                    in_force += status == 200
                except (OSError, http.client.HTTPException):
                    pass
            if in_force != GATEKEEPERS:
                faults.append(f'{name}: version {last:08x} in force at {in_force} of {GATEKEEPERS} gatekeepers')
            keys = sorted(statuses[0]) if statuses else []
            print(f'{name}: acknowledged {last}, read back {int(read["version"], 16) if read else None}, servers {known}, in force at {in_force}, epoch {[s["epoch"]["round"] for s in statuses]}, status keys {len(keys)}', flush=True)
            operator.pause.clear()

        def roll(build):
            for kind, n in [('control', 0), ('gatekeeper', 0), ('control', 1), ('gatekeeper', 1), ('control', 2), ('gatekeeper', 2)]:
                fault = system.stop(kind, n)
                if fault:
                    faults.append(fault)
                system.start(kind, n, build)
                time.sleep(ROLL_PAUSE_S)

        def restart(build):
            for n in range(CONTROL):
                system.stop('control', n, signal.SIGKILL)
            for n in range(CONTROL):
                system.start('control', n, build)

        stage[0] = 'old'
        settle('old')
        stage[0] = 'rolling'
        roll('new')
        settle('rolling')
        stage[0] = 'new-restart'
        restart('new')
        settle('new-restart')
        stage[0] = 'back'
        roll('old')
        settle('back')
        stage[0] = 'old-restart'
        restart('old')
        settle('old-restart')
        stop.set()
        time.sleep(3)
        with servers.lock:
            ran = list(servers.ran)
        counts = collections.Counter(request for _, _, request, path in ran if path.startswith('/once/'))
        repeated = [request for request, count in counts.items() if count > 1]
        if repeated:
            faults.append(f'{len(repeated)} requests of a route that may run once ran again')
    finally:
        stop.set()
        system.end()
    for key, count in sorted(clients.results.items(), key=str):
        print('  ', *key, count)
    for (name, tenant, route, outcome), count in clients.results.items():
        if isinstance(outcome, str) and outcome.startswith('no answer'):
            faults.append(f'{name}: {tenant} {route}: {outcome}: {count}')
        if isinstance(outcome, int) and outcome not in (200, 429) and not name.endswith('restart'):
            faults.append(f'{name}: {tenant} {route}: answered {outcome}: {count}')
    most, allowed = over_quota(ran)
    print(f'executed {len(ran)}; limited tenant: {most} in the worst window of {QUOTA_WINDOW_S} s, {allowed:.0f} allowed')
    if most > allowed:
        faults.append(f'quota: {most} executed in a window, {allowed:.0f} allowed')
    for name in ('control', 'gatekeeper'):
        for n in range(3):
            log = (pathlib.Path(args.out) / f'{name}-{n}.log').read_text(errors='replace')
            if 'panicked' in log:
                faults.append(f'{name}-{n} panicked')
    print('FAULTS' if faults else 'no faults')
    for fault in faults:
        print('  ', fault)
    sys.exit(1 if faults else 0)


main()
