"""Servers that answer before they have read the whole request, which is sent by the real gateway."""

import unittest

from crowseam.model_checks.callers.early_answers import EarlyAnswer, EarlySchedule, Ending, Upload
from crowseam.model_checks.callers.scripted_client import build_request
from crowseam.model_checks.callers.scripted_world import LARGE_BODY_BYTES, NOT_RUN_STATUSES

HEAD_BYTES = 90  # within the head of an answer
KINDS = ("safe", "once", "long", "idem")
FRAMINGS = ("length", "chunked")


class OneRequest(EarlySchedule):
    """One request, which is handled alike by all servers; a keyed one is sent again once if it fails."""

    def __init__(self, early, upload, unreachable_servers):
        super().__init__(1)
        self.early, self.upload, self.unreachable_servers = early, upload, unreachable_servers

    def early_answer(self, server, attempt):
        return self.early

    def _run_actions(self):
        for number in range(self.unreachable_servers):
            self.world.network.listeners[f"10.1.0.{number + 1}", 8080].close()
        self.attempt = self.send_upload(self.upload)
        self.world.run(self.world.now + 10.0)

    @property
    def statuses(self):
        return self.world.client_statuses.get(self.attempt, [])


def play(early, kind, unreachable_servers=0, **upload):
    key = "k-1" if kind == "idem" else ""
    upload = Upload(kind, key, attempts_left=int(kind == "idem"), **upload)
    schedule = OneRequest(early, upload, unreachable_servers)
    schedule.play()  # raises Violation, also if a request ran that was answered as not run, or an operation ran twice
    return schedule


class Promises(unittest.TestCase):
    def test_a_request_that_ran_early_is_not_answered_as_not_run(self):
        """Guards against 503 for, and a second run of, what a server ran before it had read the whole body."""
        for ending in set(Ending) - {Ending.NOT_RUN}:
            for size in (0, 2 * LARGE_BODY_BYTES):
                for framing in FRAMINGS:
                    for kind in KINDS:
                        with self.subTest(ending=ending.value, size=size, framing=framing, kind=kind):
                            early = EarlyAnswer(ending, size=size, cut=HEAD_BYTES, chunked=framing == "chunked")
                            schedule = play(early, kind, framing=framing)
                            self.assertEqual(len(schedule.statuses), 1)
                            self.assertNotIn(schedule.statuses[0], NOT_RUN_STATUSES)

    def test_a_request_that_a_server_turns_away_early_is_refused(self):
        for kind in KINDS:
            schedule = play(EarlyAnswer(Ending.NOT_RUN), kind)
            self.assertEqual(schedule.statuses, [503], kind)

    def test_a_further_attempt_that_ran_early_is_not_answered_as_not_run(self):
        """Guards against the same where the first servers can't be connected to."""
        for ending in set(Ending) - {Ending.NOT_RUN}:
            for kind in KINDS:
                with self.subTest(ending=ending.value, kind=kind):
                    schedule = play(EarlyAnswer(ending, cut=HEAD_BYTES), kind, unreachable_servers=2)
                    self.assertEqual(len(schedule.statuses), 1)
                    self.assertNotIn(schedule.statuses[0], NOT_RUN_STATUSES)
                    self.assertEqual(len(schedule.world.server_receipts[schedule.attempt]), 1)

    def test_a_request_whose_body_stops_is_not_answered_as_not_run_once_a_server_has_it(self):
        """Guards against 408 for what a server ran before it had read the whole body."""
        for kind in ("long", "idem"):
            early = EarlyAnswer(Ending.SILENCE, work_s=60.0)
            schedule = play(early, kind, stops_after=8)
            self.assertEqual(schedule.statuses, [502], kind)


class Successes(unittest.TestCase):
    def test_an_early_success_is_passed_on(self):
        """Guards against a failure in place of the answer that a server gave before it had read the whole body."""
        for size in (0, 2 * LARGE_BODY_BYTES):
            for framing in FRAMINGS:
                for reads_on in (True, False):
                    for kind in KINDS:
                        with self.subTest(size=size, framing=framing, reads_on=reads_on, kind=kind):
                            early = EarlyAnswer(size=size, reads_on=reads_on, pieces=4, chunked=framing == "chunked")
                            schedule = play(early, kind, framing=framing)
                            self.assertEqual(schedule.statuses, [200])


class RestOfBody(OneRequest):
    """A chunked body, the rest of which is sent while the early answer is being streamed."""

    def __init__(self, rest):
        early = EarlyAnswer(size=3 * LARGE_BODY_BYTES, pieces=20)
        super().__init__(early, Upload("long", framing="chunked"), unreachable_servers=0)
        self.rest = rest

    def _run_actions(self):
        self.attempt = self.world.new_attempt_id("long")
        self.connect(self._send_early_part)
        self.world.run(self.world.now + 1.0)  # less than an idle connection is kept
        self.is_closed = self.connection.transport.end_received

    def _send_early_part(self, connection):
        head, body = build_request(self.attempt, 4.0, "chunked", 3 * LARGE_BODY_BYTES, has_body=True)
        # Sizes and contents of the chunks alternate; the first two chunks are sent at once.
        lines = body.split(b"\r\n")
        early_part = b"\r\n".join([*lines[:4], b""])
        self.connection = connection
        connection.outstanding.append(self.attempt)
        connection.on_answer = lambda keep: setattr(self, "kept", keep)
        connection.write(head + early_part)
        self.world.later(0.02, connection.write, self.rest(body[len(early_part) :]))


class Connections(unittest.TestCase):
    def assert_answered_and_closed(self, schedule):
        schedule.play()  # raises Violation, also if anything but one whole answer arrives
        self.assertEqual(schedule.statuses, [200])
        self.assertFalse(schedule.kept)
        self.assertTrue(schedule.is_closed)

    def test_an_early_answer_goes_on_if_the_rest_of_the_body_is_invalid(self):
        """Guards against a second answer within the one that is being streamed."""
        self.assert_answered_and_closed(RestOfBody(lambda rest: b"no chunk\r\n\r\n"))

    def test_a_connection_is_closed_as_announced_though_its_body_came_meanwhile(self):
        """Guards against a connection kept open after `Connection: close`."""
        self.assert_answered_and_closed(RestOfBody(lambda rest: rest))


if __name__ == "__main__":
    unittest.main()
