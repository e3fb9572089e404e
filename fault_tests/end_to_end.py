"""End-to-end test of bad input and resubmission on a fleet of real processes.
Each bad request must get its status and an accurate problem, and must not
affect other requests."""

import json
import os
import socket
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "scripts"))
import fleet as fleets  # noqa: E402

FAILED = []


def check(what, condition, seen=""):
    print("%s: %s %s" % ("ok" if condition else "FAILED", what, "" if condition else seen), flush=True)
    if not condition:
        FAILED.append(what)


def call(fleet, method, path, body=None, key="key-skagen", vm=0, **headers):
    fields = {name.replace("_", "-"): value for name, value in headers.items()}
    if key:
        fields["Authorization"] = "Bearer " + key
    url = "http://%s:%d%s" % (fleet.vms[vm].ip, fleets.HTTP_PORT, path)
    status, text = fleets.http(method, url, body, timeout=30, headers=fields)
    try:
        return status, json.loads(text)
    except ValueError:
        return status, text


def completion(**fields):
    return json.dumps(dict({"model": "sprogmodel", "prompt": "a b c", "max_tokens": 4}, **fields))


def send_raw(fleet, data):
    with socket.create_connection((fleet.vms[0].ip, fleets.HTTP_PORT), timeout=15) as connection:
        connection.sendall(data)
        connection.settimeout(15)
        answer = b""
        try:
            while True:
                chunk = connection.recv(65536)
                if not chunk:
                    break
                answer += chunk
        except OSError:
            pass
        return answer.decode(errors="replace")


def bad_input(fleet):
    cases = [
        ("malformed JSON", 400, "malformed", dict(body="{nonsense")),
        ("misspelt field", 400, "malformed", dict(body=completion(promt="x"))),
        ("unknown pipeline", 404, "not-found", dict(body=completion(model="none"))),
        ("missing key", 401, "unauthorized", dict(body=completion(), key="")),
        ("wrong key", 401, "unauthorized", dict(body=completion(), key="wrong")),
        ("deadline already passed", 408, "deadline-passed", dict(body=completion(), X_Deadline_Ms="-1")),
        ("body over the limit", 413, "too-large", dict(body="x" * 1100000)),
    ]
    for what, status, title, arguments in cases:
        actual_status, problem = call(fleet, "POST", "/v1/completions", **arguments)
        check(what, actual_status == status and isinstance(problem, dict) and problem.get("title") == title and
              problem.get("executed") == "no" and bool(problem.get("detail")), "%s %s" % (actual_status, problem))
    check("unknown path", call(fleet, "GET", "/v2/other")[0] == 404)
    check("wrong method", call(fleet, "GET", "/v1/completions")[0] == 405)
    check("unknown service", call(fleet, "GET", "/v1/services/none/x")[0] == 404)
    check("malformed request line", " 400 " in send_raw(fleet, b"NONSENSE\r\n\r\n"))
    check("header over the limit", " 431 " in send_raw(fleet, b"GET / HTTP/1.1\r\nX: " + b"a" * 40000 + b"\r\n\r\n"))


def slow_and_disconnected_callers(fleet):
    start = time.monotonic()
    answer = send_raw(fleet, b"POST /v1/completions HTTP/1.1\r\nContent-Len")
    check("a slow caller gets a 408 response and is disconnected",
          " 408 " in answer and time.monotonic() - start < 14, answer)
    for _ in range(20):
        with socket.create_connection((fleet.vms[0].ip, fleets.HTTP_PORT)) as connection:
            body = completion(max_tokens=200, stream=True).encode()
            connection.sendall(b"POST /v1/completions HTTP/1.1\r\nAuthorization: Bearer key-skagen\r\n"
                               b"Content-Length: %d\r\n\r\n" % len(body) + body)
            connection.recv(100)
    vm = fleet.vms[0]
    fleets.wait_until(lambda: fleet.metrics(vm.ip, fleets.HTTP_PORT)["chervil_in_flight"] == 0, 5,
                      "requests of disconnected callers end")
    check("requests of disconnected callers are released", True)


def idempotency_keys(fleet):
    path = "/v1/services/register/filings"
    check("a call that may not be repeated needs a key", call(fleet, "POST", path, "x")[1]["title"] == "key-required")
    first = call(fleet, "POST", path, "Nygade 4", Idempotency_Key="filing-1")
    again = call(fleet, "POST", path, "Nygade 4", vm=1, Idempotency_Key="filing-1")
    check("a resubmission through another entry returns the same complete outcome",
          first[0] == 200 and first == again, str(again))
    other = call(fleet, "POST", path, "Nygade 5", vm=2, Idempotency_Key="filing-1")
    check("the same key with a different body is refused", other[0] == 422 and other[1]["executed"] == "no", str(other))
    other_organisation = call(fleet, "POST", path, "Nygade 4", key="key-odense", Idempotency_Key="filing-1")
    check("keys of different organisations are independent",
          other_organisation[0] == 200 and other_organisation != first, str(other_organisation))
    looked_up = call(fleet, "GET", "/v1/requests/filing-1", vm=2)
    check("the outcome can be looked up", looked_up == first, str(looked_up))
    check("a lookup of an unknown key says that it was not run",
          call(fleet, "GET", "/v1/requests/none")[1]["executed"] == "no")
    fleet.platform_faults(outage=True)
    refused = call(fleet, "POST", path, "x", Idempotency_Key="filing-2")
    check("during an outage a filing is refused with a retry time",
          refused[0] == 503 and refused[1]["title"] == "store-unavailable" and refused[1]["retry_after_ms"] > 0 and
          refused[1]["executed"] in ("no", "unknown"), str(refused))
    check("during an outage lookups succeed", call(fleet, "GET", path)[0] == 200)
    check("during an outage completions succeed", call(fleet, "POST", "/v1/completions", completion())[0] == 200)
    fleet.platform_faults(outage=False)
    fleets.wait_until(lambda: call(fleet, "POST", path, "x", Idempotency_Key="filing-2")[0] == 200, 10,
                      "the same key works after the outage")
    executions = fleet.executions()
    # Both organisations used filing-1; the service counts by key alone.
    check("executions by key", executions.get("filing-1") == 2 and executions.get("filing-2") == 1, str(executions))


def table(fleet):
    path = os.path.join(fleet.folder, "table.csv")
    text = fleet.ctl("table", "get").stdout
    with open(path, "w") as out:
        out.write(text.replace("skagen,sprogmodel,2", "skagen,sprogmodel,5"))
    check("table diff", "change skagen,sprogmodel" in fleet.ctl("table", "diff", path).stdout)
    applied = fleet.ctl("table", "apply", path)
    check("table apply", "accepted: version 2" in applied.stdout, applied.stderr)
    other = os.path.join(fleet.folder, "other.csv")
    with open(other, "w") as out:
        out.write(text.replace("odense,sprogmodel,1", "odense,sprogmodel,3"))
    merged = fleet.ctl("table", "apply", other, vm=fleet.vms[1])
    check("a disjoint edit of an older table is merged", "accepted: version 3" in merged.stdout, merged.stderr)
    with open(other, "w") as out:
        out.write(text.replace("skagen,sprogmodel,2", "skagen,sprogmodel,9"))
    conflict = fleet.ctl("table", "apply", other, vm=fleet.vms[2])
    check("a conflicting edit is refused and shows both values",
          conflict.returncode == 3 and "yours weight=9" in conflict.stderr and "theirs weight=5" in conflict.stderr,
          conflict.stderr)
    with open(other, "w") as out:
        out.write(text.replace("skagen,sprogmodel,2", "skagen,sprogmodel,x"))
    check("a table with an invalid value is refused", fleet.ctl("table", "apply", other).returncode == 2)
    fleets.wait_until(lambda: all("version 3" in fleet.ctl("status", vm=vm).stdout for vm in fleet.vms), 5,
                      "the change is in force on every VM")
    check("the change is in force on every VM within 5 s", True)
    added = fleet.ctl("organisation", "add", "aarhus")
    key = added.stdout.rsplit(": ", 1)[-1].strip()
    fleets.wait_until(lambda: call(fleet, "POST", "/v1/completions", completion(), key=key, vm=2)[0] == 200, 5,
                      "a new organisation's key works on another VM")
    fleet.ctl("organisation", "revoke", "aarhus")
    fleets.wait_until(lambda: call(fleet, "POST", "/v1/completions", completion(), key=key, vm=2)[0] == 401, 5,
                      "a revoked key is refused on another VM")
    check("keys are created and revoked", True)


def main():
    fleet = fleets.small_fleet(os.path.join(fleets.ROOT, "run", "end_to_end"), 40)
    try:
        fleet.start()
        bad_input(fleet)
        idempotency_keys(fleet)
        table(fleet)
        slow_and_disconnected_callers(fleet)
        for process in fleet.all_processes():
            check("%s still runs" % process.name, process.running())
    finally:
        fleet.stop()
    print("end_to_end: %d failed" % len(FAILED))
    return 1 if FAILED else 0


if __name__ == "__main__":
    sys.exit(main())
