"""Servers that answer before they have read the whole request, which is sent by the real gateway."""

import unittest

from crowseam.model_checks.callers.early_answers import EarlyAnswer, EarlySchedule, Ending, Upload
from crowseam.model_checks.callers.scripted import LARGE_BODY_BYTES, NOT_RUN_STATUSES

HEAD_BYTES = 90  # within the head of an answer
KINDS = ("once", "long", "idem")


class OneRequest(EarlySchedule):
    """One request, which is handled alike by all servers; a keyed one is sent again once if it fails."""

    def __init__(self, early, upload):
        super().__init__(1)
        self.early, self.upload = early, upload

    def early_answer(self, server, attempt):
        return self.early

    def _run_actions(self):
        self.attempt = self.send_upload(self.upload)
        self.world.run(self.world.now + 10.0)

    @property
    def statuses(self):
        return self.world.client_statuses.get(self.attempt, [])


def play(early, kind, **upload):
    key = "k-1" if kind == "idem" else ""
    schedule = OneRequest(early, Upload(kind, key, attempts_left=int(kind == "idem"), **upload))
    schedule.play()  # raises Violation, also if a request ran that was answered as not run, or an operation ran twice
    return schedule


class Promises(unittest.TestCase):
    def test_a_request_that_ran_early_is_not_answered_as_not_run(self):
        """Guards against 503 for, and a second run of, what a server ran before it had read the whole body."""
        for ending in set(Ending) - {Ending.NOT_RUN}:
            for size in (0, 2 * LARGE_BODY_BYTES):
                for framing in ("length", "chunked"):
                    for kind in KINDS:
                        with self.subTest(ending=ending.value, size=size, framing=framing, kind=kind):
                            early = EarlyAnswer(ending, size=size, cut=HEAD_BYTES)
                            schedule = play(early, kind, framing=framing)
                            self.assertEqual(len(schedule.statuses), 1)
                            self.assertNotIn(schedule.statuses[0], NOT_RUN_STATUSES)

    def test_a_request_that_a_server_turns_away_early_is_refused(self):
        for kind in KINDS:
            schedule = play(EarlyAnswer(Ending.NOT_RUN), kind)
            self.assertEqual(schedule.statuses, [503], kind)

    def test_a_request_whose_body_stops_is_not_answered_as_not_run_once_a_server_has_it(self):
        """Guards against 408 for what a server ran before it had read the whole body."""
        for kind in ("long", "idem"):
            early = EarlyAnswer(Ending.SILENCE, work_s=60.0)
            schedule = play(early, kind, stops_after=8)
            self.assertEqual(schedule.statuses, [502], kind)


if __name__ == "__main__":
    unittest.main()
