"""Sends requests that share one part of their prompts, no two alike, of which each
ends the model worker that begins to answer it, beside sound requests with the same
key, path and other parts. Real processes on loopback; counted at the workers.

    crashing_part.py [--cell NAME]... [--all] [--random COUNT] [--seed N]

Without arguments the cells of a CI run are played, with less traffic; --all plays
every cell, --random COUNT random scenarios, of the seed and those after it. A cell
fails if, more than CONTACT_S after the fifth end under a part, more than
MAX_LATE_ARRIVALS requests with it reach workers, or if afterwards less than half as
many sound requests begin at the first attempt as before."""

import argparse
import random
import re
import signal
import sys
import threading
import time

import crashing_request
from crashing_request import CONTACT_S, FAILED, ServerKeeper, check, late_arrivals, times_of

MAX_LATE_ARRIVALS = 3   # required bound
ENDS_BEFORE_BOUND = 5   # ends under one part after which the bound applies
LEAST_SHARE_KEPT = 0.5  # required share of sound requests, against that before
LEAST_SOUND = 20        # sound requests before and after, for the shares to mean anything
SOUND_INTERVAL_S, CULPRIT_INTERVAL_S, RACK_INTERVAL_S = 0.15, 0.4, 5.0
BEFORE_S, CULPRIT_S, CI_CULPRIT_S = 4.5, 25.0, 14.0
# The traffic goes on until there are sound requests after the last end that
# counts, but not for longer than this.
AFTER_S, MAX_EXTRA_S = 5.0, 20.0
RACKS_WITHOUT_CULPRIT = 10
CRASHED = re.compile(r"time=(\S+) .*event=worker\.crashed request=\S+ part=(\S+)")
ARRIVED = re.compile(r"time=(\S+) .*event=request\.marked request=\S+ part=(\S+)")
CULPRITS = ["bad0c0de", "0badf00d"]
FIRST_PART = "5c1e07a2"  # of the caller
SHARED_PARTS = ["91bd3f06", "2a77d1c4", "c03e9b58", "6f1048ea"]
POSITIONS = {"first": 0, "second": 1, "third": 2}


class Scenario(crashing_request.Scenario):
    """Culprits at a position, how workers return, and what happens beside it."""

    def __init__(self, position, back_after, path="/draft/x", culprits=1, sound_s=0.0, racks=False, delay_ms=20,
                 disruptions=()):
        super().__init__(path, ",".join(CULPRITS[:culprits]), back_after, False, disruptions)
        self.position, self.culprits, self.sound_s = position, CULPRITS[:culprits], sound_s
        self.racks, self.delay_ms = racks, delay_ms

    @staticmethod
    def draw(seed):
        draw = random.Random(seed)
        disruptions = [(draw.choice(crashing_request.DISRUPTIONS), draw.randrange(6)) for _ in range(draw.randrange(3))]
        # A router that starts while the store is away may know no configuration.
        disruptions = [item for item in disruptions if item[0] == "store down"] or disruptions
        return Scenario(draw.choice(sorted(POSITIONS)), draw.choice([0.1, 0.5, 2.0]),
                        draw.choice(["/draft/x", "/once/x"]), draw.choice([1, 1, 2]), draw.choice([0.0, 0.0, 6.0]),
                        draw.random() < 0.25, draw.choice([5, 20, 60]), disruptions)

    def describe(self):
        return "%s; part %s, ends after %d ms%s%s" % (
            super().describe(), self.position, self.delay_ms,
            "; sound for %.0f s" % self.sound_s if self.sound_s else "",
            "; half of the workers killed every %.0f s" % RACK_INTERVAL_S if self.racks else "")


class Traffic:
    """Sends each request on a thread of its own, so that a slow one delays no other."""

    def __init__(self, fleet, scenario, seed):
        self.fleet, self.scenario, self.random = fleet, scenario, random.Random(seed)
        self.lock = threading.Lock()
        self.sound = []     # (sent at, whether it began, whether it was refused as a crashing one)
        self.culprits = []  # (sent at, status, whether it was refused as a crashing one)
        self.stopped = False
        self.number = 0
        self.threads = []

    def prompt(self, culprit=None):
        """The header for one request; its last part is its own."""
        parts = [FIRST_PART] + self.random.sample(SHARED_PARTS, 2)
        if culprit and POSITIONS[self.scenario.position] == 0:
            parts[0] = culprit
        elif culprit:
            parts.insert(POSITIONS[self.scenario.position], culprit)
        parts.append("%08x" % self.random.getrandbits(32))
        return ",".join("%s:%d" % (part, self.random.randrange(1, 4)) for part in parts)

    def send(self, router, kind, results, culprit=None):
        self.number += 1
        request = "%s-%d" % (kind, self.number)
        prompt = self.prompt(culprit)

        def run():
            sent_at = time.time()
            status, text, _ = self.fleet.ask(router, "POST", self.scenario.path, request, body=request, timeout=4.0,
                                             Chervilpass_Prompt_Prefix=prompt)
            refused = status not in (0, 200) and "crash" in text
            with self.lock:
                results.append((sent_at, status if culprit else status in (0, 200) and "id: 1\n" in text, refused))
        self.threads.append(threading.Thread(target=run, daemon=True))
        self.threads[-1].start()

    def run_sound(self):
        while not self.stopped:
            with self.lock:
                self.send(self.random.choice(self.fleet.routers), "sound", self.sound)
            time.sleep(SOUND_INTERVAL_S)

    def run_culprits(self):
        turn = 0
        while not self.stopped:
            for culprit in self.scenario.culprits:
                with self.lock:
                    self.send(self.fleet.routers[turn % len(self.fleet.routers)], "culprit", self.culprits, culprit)
                turn += 1
            time.sleep(CULPRIT_INTERVAL_S)

    def run_racks(self, count=None):
        while not self.stopped and count != 0:
            for process in self.random.sample(self.fleet.workers, len(self.fleet.workers) // 2):
                self.fleet.signal(process, signal.SIGKILL)
            count = None if count is None else count - 1
            time.sleep(RACK_INTERVAL_S if count is None else 1.0)

    def run_disruptions(self):
        """Each on its own, as the restart of a router takes a while."""
        down = [item.how for item in self.scenario.disruptions]
        while not self.stopped:
            ends = len(times_of(self.fleet.workers, CRASHED))
            for disruption in self.scenario.disruptions:
                disruption.apply(self.fleet, ends, "store down" in down)
            time.sleep(0.1)

    def start(self, function):
        self.threads.append(threading.Thread(target=function, daemon=True))
        self.threads[-1].start()

    def stop(self):
        self.stopped = True
        for thread in list(self.threads):
            thread.join()

    def begun(self, since, until):
        """How many sound requests that were sent in this time began, and of how many."""
        outcomes = [began for sent_at, began, _ in self.sound if since <= sent_at < until]
        return sum(outcomes), len(outcomes)


def set_culprits(fleet, scenario):
    """From now on the workers end under the culprits, those that start again as well."""
    for process in fleet.workers:
        with open(process.config, "a") as file:
            file.write("crash_part: '%s'\ncrash_delay_ms: %d\n" % (scenario.body, scenario.delay_ms))
        fleet.worker_faults(process, crash_part=scenario.body, crash_delay_ms=scenario.delay_ms)


def bound_from(fleet, scenario):
    """When the bound on sound requests begins to apply: by the fifth end under each
    culprit, or its last one if there are fewer."""
    ends = [times_of(fleet.workers, CRASHED, culprit)[:ENDS_BEFORE_BOUND] for culprit in scenario.culprits]
    return max([times[-1] for times in ends if times], default=time.time()) + 2 * CONTACT_S


def play(name, scenario, subnet, seed, culprit_s):
    print("%s: %s" % (name, scenario.describe()), flush=True)
    fleet = crashing_request.new_fleet(subnet, 2)
    keeper = ServerKeeper(fleet.workers, scenario.back_after)
    traffic = Traffic(fleet, scenario, seed)
    try:
        if not scenario.sound_s:
            set_culprits(fleet, scenario)
        traffic.start(traffic.run_sound)
        time.sleep(BEFORE_S)
        first_culprit = time.time()
        for function in [traffic.run_culprits, traffic.run_disruptions] + [traffic.run_racks] * scenario.racks:
            traffic.start(function)
        time.sleep(scenario.sound_s)
        if scenario.sound_s:
            set_culprits(fleet, scenario)
        time.sleep(culprit_s)
        last_extra = time.time() + MAX_EXTRA_S
        while time.time() < min(last_extra, bound_from(fleet, scenario) + AFTER_S):
            time.sleep(0.2)
        last_culprit = time.time()
        traffic.stop()
    finally:
        keeper.stop()
        fleet.stop()
    for culprit in scenario.culprits:
        ends, arrivals = times_of(fleet.workers, CRASHED, culprit), times_of(fleet.workers, ARRIVED, culprit)
        # A stream that is moved reaches further workers.
        late_ends, late = [late_arrivals(ends, times, ENDS_BEFORE_BOUND) for times in (ends, arrivals)]
        check("%s: at most %d requests with part %s reach workers, %.0f s after the fifth end" %
              (name, MAX_LATE_ARRIVALS, culprit, CONTACT_S),
              ends and max(len(late_ends), len(late)) <= MAX_LATE_ARRIVALS,
              "ends %d, arrivals %d, late ends %d, late arrivals %d" %
              (len(ends), len(arrivals), len(late_ends), len(late)))
    bound = bound_from(fleet, scenario)
    before, during, after = [traffic.begun(*times) for times in (
        (0, first_culprit), (first_culprit, bound), (bound, last_culprit))]
    check("%s: sound requests begin at least %.1f times as often as at first" % (name, LEAST_SHARE_KEPT),
          min(before[1], after[1]) >= LEAST_SOUND and
          after[0] / after[1] >= LEAST_SHARE_KEPT * before[0] / before[1] > 0,
          "before %d of %d, during %d of %d, after %d of %d; refused as crashing ones: sound %d, others %d of %d" %
          (before + during + after + (sum(item[2] for item in traffic.sound), sum(item[2] for item in traffic.culprits),
                                      len(traffic.culprits))))


def play_racks(name, subnet, seed):
    """Without a culprit: half of the workers are killed at once, again and again."""
    fleet = crashing_request.new_fleet(subnet, 2)
    keeper = ServerKeeper(fleet.workers, 0.2)
    traffic = Traffic(fleet, Scenario("second", 0.2), seed)
    try:
        traffic.start(traffic.run_sound)
        time.sleep(BEFORE_S)
        traffic.run_racks(RACKS_WITHOUT_CULPRIT)
        traffic.stop()
    finally:
        keeper.stop()
        fleet.stop()
    refused = sum(item[2] for item in traffic.sound)
    check("%s: no sound request is refused as a crashing one" % name,
          len(traffic.sound) >= LEAST_SOUND and not refused,
          "begun %d of %d, refused %d" % (traffic.begun(0, time.time()) + (refused,)))


CELLS = {
    "second": Scenario("second", 0.1),
    "second-slow-return": Scenario("second", 2.0),
    "second-after-events": Scenario("second", 0.5, delay_ms=80),
    "first": Scenario("first", 0.1),
    "third": Scenario("third", 0.1),
    "once-kill-all": Scenario("second", 0.5, "/once/x", disruptions=[("kill all", 3)]),
    "kill-one": Scenario("second", 0.5, disruptions=[("kill one", 3)]),
    "join": Scenario("second", 0.5, disruptions=[("join", 3)]),
    "two-culprits": Scenario("second", 0.5, culprits=2),
    "sound-until-now": Scenario("second", 0.5, sound_s=6.0),
    "racks": Scenario("second", 0.5, racks=True),
    "store-down": Scenario("second", 0.5, disruptions=[("store down", 1)]),
}
# racks-without-culprit is a test of its own in CI.
CI_CELLS = ["second-slow-return", "once-kill-all", "sound-until-now"]


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--cell", action="append", choices=list(CELLS) + ["racks-without-culprit"])
    parser.add_argument("--all", action="store_true")
    parser.add_argument("--random", type=int, default=0)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--subnet", type=int, default=73)
    arguments = parser.parse_args()
    chosen = arguments.cell or arguments.all or arguments.random
    cells = arguments.cell or ([] if arguments.random else CI_CELLS)
    if arguments.all:
        cells = list(CELLS) + ["racks-without-culprit"]
    scenarios = [(name, CELLS.get(name), arguments.seed) for name in cells]
    scenarios += [("seed-%d" % seed, Scenario.draw(seed), seed)
                  for seed in range(arguments.seed, arguments.seed + arguments.random)]
    for name, scenario, seed in scenarios:
        if scenario is None:
            play_racks(name, arguments.subnet, seed)
        else:
            play(name, scenario, arguments.subnet, seed, CULPRIT_S if chosen else CI_CULPRIT_S)
    print("crashing_part: %d failed" % len(FAILED))
    return 1 if FAILED else 0


if __name__ == "__main__":
    sys.exit(main())
