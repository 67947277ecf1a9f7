"""Guards server choice and queue limit against late answers and shed requests.

Each load is simulated in virtual time against the real routing code.
"""

from __future__ import annotations

import os
import subprocess
import sys
import unittest
from statistics import fmean

import msgspec

from wagtailkeel_bench.load_model import LOADS_BY_NAME
from wagtailkeel_bench.load_model import POLICIES_BY_NAME
from wagtailkeel_bench.load_model import Results
from wagtailkeel_bench.load_model import format_table
from wagtailkeel_bench.load_model import simulate
from wagtailkeel_bench.load_model.load import ServerFault
from wagtailkeel_bench.load_model.load import Surge
from wagtailkeel_coordination.handshake.load_sample import DEFAULT_SAMPLE_SIZE

SEED = 1
SEEDS = (1, 2, 3, 4)
SHORT_DURATION_S = 10.0
MANY_SERVERS = LOADS_BY_NAME["many-servers"]
MAX_LOAD_MESSAGES_PER_OPENING = 2 * (DEFAULT_SAMPLE_SIZE.local + DEFAULT_SAMPLE_SIZE.remote)
"""A request and an answer for each agent of the first sample."""


def simulate_short(load: str, policy: str, seed: int = SEED) -> Results:
    """Simulate the first seconds of a load."""
    chosen = msgspec.structs.replace(LOADS_BY_NAME[load], duration_s=SHORT_DURATION_S)
    return simulate(chosen, POLICIES_BY_NAME[policy], seed)


MUTE_FAULT = ServerFault(how="mute", servers=4, start_s=0.5, end_s=2.5, share=0.5)


def simulate_fault(load: str, fault: ServerFault) -> list[Results]:
    """Simulate a load with failing servers, without and with outlier detection."""
    chosen = msgspec.structs.replace(LOADS_BY_NAME[load], server_fault=fault, duration_s=4.5)
    return [simulate(chosen, POLICIES_BY_NAME[p], SEED) for p in ("sampled", "sampled-outliers")]


class LoadModelTest(unittest.TestCase):
    def test_least_wait_has_at_most_a_quarter_of_the_late_answers_of_random_placement(
        self,
    ) -> None:
        at_random = simulate_short("unlike-servers", "random")
        by_load = simulate_short("unlike-servers", "sampled")
        self.assertGreater(at_random.late, 50)
        self.assertLessEqual(by_load.late, at_random.late / 4)
        self.assertLess(by_load.imbalance, at_random.imbalance)

    def test_queue_limit_answers_more_requests_in_time(self) -> None:
        for load in ("small-service", "surge", "all-return"):
            with self.subTest(load):
                unlimited = [simulate_short(load, "least-wait", seed) for seed in SEEDS]
                limited = [simulate_short(load, "sampled", seed) for seed in SEEDS]
                gain = fmean(r.in_target_share for r in limited)
                gain -= fmean(r.in_target_share for r in unlimited)
                self.assertGreater(gain, 0.02)
                self.assertLess(sum(r.late for r in limited), sum(r.late for r in unlimited) / 2)
                self.assertLess(sum(r.shed for r in limited), sum(r.shed for r in unlimited) / 4)

    def test_the_order_of_sets_does_not_matter(self) -> None:
        """Sets of addresses are in another order in each process, by its hash seed."""
        script = (
            "from tests.bench.test_load_model import simulate_short as s;"
            "r = s('surge', 'sampled'); print(r.late, r.shed, r.failed, r.in_target_share)"
        )
        outputs = {
            subprocess.run(
                [sys.executable, "-c", script],
                env={**os.environ, "PYTHONHASHSEED": hash_seed},
                capture_output=True,
                text=True,
                check=True,
            ).stdout
            for hash_seed in ("0", "1", "2")
        }
        self.assertEqual(len(outputs), 1, outputs)

    def test_queue_limit_refuses_nothing_while_servers_have_room(self) -> None:
        found = simulate_short("unlike-servers", "sampled")
        self.assertEqual((found.failed, found.shed), (0, 0))

    def test_openings_that_wait_for_cold_servers_do_not_fail(self) -> None:
        """All callers return at once after all servers have restarted."""
        refused = simulate_short("all-cold", "sampled-unqueued")
        queued = simulate_short("all-cold", "sampled")
        self.assertGreater(refused.failed, 50)
        self.assertLess(queued.failed, refused.failed / 10)
        self.assertGreaterEqual(queued.in_target, refused.in_target)

    def test_a_sample_is_as_good_as_all_loads_and_costs_the_same_at_any_size(self) -> None:
        """A node's cost must not grow with the number of nodes."""
        table = [(10, 3, 6.0), (50, 3, 2.0), (109, 5, 1.0)]
        for server_count, data_centres, duration_s in table:
            with self.subTest(server_count=server_count):
                load = msgspec.structs.replace(
                    MANY_SERVERS,
                    server_speeds=MANY_SERVERS.server_speeds[:server_count],
                    requests_per_s=MANY_SERVERS.requests_per_s * server_count / 109,
                    data_centres=data_centres,
                    duration_s=duration_s,
                )
                with_all = simulate(load, POLICIES_BY_NAME["least-wait-limited"], SEED)
                sampled = simulate(load, POLICIES_BY_NAME["sampled"], SEED)
                unserved_in_time = sampled.late + sampled.failed
                self.assertLessEqual(unserved_in_time, 1.1 * (with_all.late + with_all.failed))
                self.assertLess(sampled.load_messages_per_opening, MAX_LOAD_MESSAGES_PER_OPENING)

    def test_aged_loads_leave_fewer_servers_idle_while_others_queue(self) -> None:
        """Owners must not gather at the servers that an old report shows idle."""
        for name in ("long-requests", "short-requests"):
            with self.subTest(name):
                load = msgspec.structs.replace(LOADS_BY_NAME[name], duration_s=3.0)
                by_report = simulate(load, POLICIES_BY_NAME["sampled"], SEED)
                by_age = simulate(load, POLICIES_BY_NAME["aged-loads"], SEED)
                self.assertGreater(by_report.idle_while_queued_s, 1.0)
                self.assertLess(by_age.idle_while_queued_s, by_report.idle_while_queued_s / 4)
                self.assertLessEqual(
                    by_age.load_messages_per_opening, 1.01 * by_report.load_messages_per_opening
                )

    def test_a_surge_leaves_no_class_or_data_centre_behind(self) -> None:
        """One data centre's callers send ten times as much; without a queue all others suffer."""
        surge = LOADS_BY_NAME["data-centre-surge"]
        load = msgspec.structs.replace(surge, duration_s=4.0)
        before = simulate(load, POLICIES_BY_NAME["sampled"], SEED)
        after = simulate(load, POLICIES_BY_NAME["sampled-queued"], SEED)
        self.assertGreater(after.in_target_share, before.in_target_share)
        self.assertLess(after.shed, before.shed / 100)
        others = [after.tallies_by_data_centre[number] for number in (1, 2)]
        for tally in (*others, after.tallies_by_class["payment"]):
            self.assertGreater(tally.in_target / tally.requests, 0.95)

    def test_no_queued_opening_expires_when_all_servers_return(self) -> None:
        """An estimate that took an unknown service time for 0 let a fifth of them expire.

        One that is too high would refuse callers whom a server could still answer. The few answers
        fewer are those of callers who came again after an expiry instead of being refused at once.
        """
        load = msgspec.structs.replace(LOADS_BY_NAME["power-return"], duration_s=4.5)
        before = simulate(load, POLICIES_BY_NAME["sampled"], SEED)
        after = simulate(load, POLICIES_BY_NAME["sampled-queued"], SEED)
        self.assertGreater(before.counters["openings_expired"], 100)
        self.assertEqual(after.counters["openings_expired"], 0)
        answered = [result.in_target + result.late for result in (before, after)]
        self.assertGreater(answered[1], 0.9 * answered[0])

    def test_callers_repeat_only_what_no_server_has_run(self) -> None:
        """A payment that a server has reset may have run."""
        for name in ("resetting-servers", "power-return"):
            with self.subTest(name):
                result = simulate_short(name, "sampled")
                payments = result.tallies_by_class["payment"]
                self.assertGreater(payments.failed, 0)
                resets = result.tallies_by_class["lookup"].attempts - (
                    result.tallies_by_class["lookup"].requests
                )
                self.assertGreater(resets, payments.attempts - payments.requests)

    def test_outlier_detection_saves_what_failing_servers_would_lose(self) -> None:
        table = [
            ("long-requests", ServerFault(how="reset", servers=4, start_s=1.0, end_s=4.0), 0.1),
            ("long-requests", ServerFault(how="flap", servers=4, start_s=1.0, end_s=4.0), 0.1),
            ("short-requests", MUTE_FAULT, 0.6),
            ("short-requests", msgspec.structs.replace(MUTE_FAULT, how="hang", share=1.0), 0.6),
        ]
        for name, fault, factor in table:
            with self.subTest(fault.how):
                before, after = simulate_fault(name, fault)
                unserved_in_time = after.late + after.failed
                self.assertLessEqual(unserved_in_time, factor * (before.late + before.failed))
                self.assertLessEqual(after.tallies_by_class["payment"].failed, 4)
                self.assertEqual(after.counters["outliers_found"], 4)
                self.assertEqual(after.counters["openings_refused"], 0)

    def test_half_of_the_servers_look_bad_at_once_and_none_is_avoided(self) -> None:
        """The other half might not bear the load of all, so the bad ones get their share of it."""
        fault = ServerFault(how="reset", servers=18, start_s=0.5, end_s=4.0)
        before, after = simulate_fault("long-requests", fault)
        self.assertEqual(after.counters["outliers_found"], 18)
        self.assertGreater(after.failed, 0.75 * before.failed)
        self.assertEqual(after.counters["openings_refused"], 0)

    def test_overload_is_refused_only_where_no_server_has_room(self) -> None:
        """Lookups come ten times as often; they must not fill the servers that payments need."""
        surge = Surge(start_s=0.5, end_s=2.0, factor=10.0, request_class="lookup")
        load = msgspec.structs.replace(
            LOADS_BY_NAME["class-surge"], surges=(surge,), duration_s=3.0
        )
        before = simulate(load, POLICIES_BY_NAME["sampled"], SEED)
        after = simulate(load, POLICIES_BY_NAME["sampled-admission"], SEED)
        payment, lookup = (after.tallies_by_class[name] for name in ("payment", "lookup"))
        self.assertGreater(after.counters["openings_refused_by_priority"], 100)
        self.assertLess(lookup.refused_with_room, lookup.refused / 100)
        self.assertLess(payment.failed, before.tallies_by_class["payment"].failed)
        self.assertGreater(lookup.in_target, before.tallies_by_class["lookup"].in_target)

    def test_equal_seeds_give_equal_results(self) -> None:
        first, second = (simulate_short("surge", "sampled") for _ in range(2))
        self.assertEqual(format_table({"it": first}), format_table({"it": second}))
        self.assertEqual(first.plot(), second.plot())
        self.assertEqual(len(first.plot()), SHORT_DURATION_S)


if __name__ == "__main__":
    unittest.main()
