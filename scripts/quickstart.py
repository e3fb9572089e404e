"""The quick start: sends requests to a small fleet and checks the answers."""

import json
import os
import subprocess
import sys

import fleet as fleets

FOLDER = os.path.join(fleets.ROOT, "run", "quickstart")
PROMPTS = ["Summarise the vacant shop premises in Nygade 4", "Explain the reuse grant to a caseworker"]


def curl(arguments):
    print("$ curl " + " ".join("'%s'" % argument if set(argument) & set(" {\"") else argument for argument in
                                arguments))
    result = subprocess.run(["curl", "-sS"] + arguments, capture_output=True, text=True, timeout=30)
    print(result.stdout.rstrip())
    return result.stdout


def reference_answer(prompt, seed, tokens):
    return subprocess.run([os.path.join(fleets.BUILD, "reference-answer"), "--layers", "32", "--prompt", prompt,
                           "--seed", str(seed), "--tokens", str(tokens)], capture_output=True, text=True).stdout.strip()


def print_decisions(fleet, request):
    logs = [vm_process.log for vm in fleet.vms for vm_process in vm.processes()]
    print("$ chervilctl explain %s run/quickstart/*.log" % request)
    print(fleet.ctl("explain", request, *logs).stdout)


def send_single_requests(fleet):
    """Sends single requests with curl; returns (requests, correct)."""
    base = "http://%s:%d" % (fleet.vms[0].ip, fleets.HTTP_PORT)
    auth = ["-H", "Authorization: Bearer key-skagen"]
    correct = 0
    curl([base + "/v1/entries"])

    body = json.dumps({"model": "sprogmodel", "prompt": PROMPTS[0], "max_tokens": 8, "seed": 7})
    answer = json.loads(curl([base + "/v1/completions"] + auth + ["-H", "X-Request-Id: hello-1", "-d", body]))
    correct += answer["choices"][0]["text"].strip() == reference_answer(PROMPTS[0], 7, 8)
    print()

    body = json.dumps({"model": "sprogmodel", "prompt": PROMPTS[1], "max_tokens": 6, "seed": 9, "stream": True})
    stream = curl(["-N", base + "/v1/completions"] + auth + ["-H", "X-Request-Id: hello-2", "-d", body])
    events = [json.loads(line[6:]) for line in stream.splitlines() if line.startswith("data: {")]
    correct += "".join(event["text"] for event in events).strip() == reference_answer(PROMPTS[1], 9, 6)
    print()
    print_decisions(fleet, "hello-2")

    filing = [base + "/v1/services/register/filings"] + auth + ["-H", "Idempotency-Key: filing-17", "-d", "Nygade 4"]
    first = curl(filing)
    second = curl(filing)
    print("executions by key: %s\n" % fleet.executions())
    correct += first == second and fleet.executions().get("filing-17") == 1
    return 3, correct


def send_generated_load(fleet):
    result = fleets.run_load(
        fleet, "load", 3000,
        ["name: sprogmodel, layers: 32, rate: 10, prompt_words: {low: 4, high: 24}, answer_tokens: {low: 4, high: 16}"],
        ["name: register, rate: 5, non_repeatable_share: 0.5"], extra="print_answers: true\nlog: {level: warning}\n")
    lines = result.stdout.splitlines()
    print("\n".join(lines[:4] + ["..."] + [line for line in lines if "=" in line.split(" ")[0]]))
    records = fleets.read_csv(fleet, "load")
    correct = sum(record["ending"] == "correct" for record in records)
    repeated = [key for key, count in fleet.executions().items() if count > 1]
    if repeated:
        print("run more than once: %s" % repeated)
        correct = 0
    return len(records), correct


def main():
    fleet = fleets.small_fleet(FOLDER, 10)
    try:
        fleet.start()
        print("fleet is up: %d processes, logs in run/quickstart\n" % len(fleet.all_processes()))
        requests, correct = send_single_requests(fleet)
        more, more_correct = send_generated_load(fleet)
        requests, correct = requests + more, correct + more_correct
        if "--keep" in sys.argv[1:]:
            print("the fleet stays up; press return to stop it")
            sys.stdin.readline()
    finally:
        fleet.stop()
    if requests != correct:
        print("quickstart failed: %d requests, %d correct" % (requests, correct))
        return 1
    print("quickstart ok: %d requests, %d correct" % (requests, correct))
    return 0


if __name__ == "__main__":
    sys.exit(main())
