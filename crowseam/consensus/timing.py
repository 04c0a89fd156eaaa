"""Timeouts, intervals and size limits of the consensus package."""

from __future__ import annotations

import msgspec


class Timing(msgspec.Struct, frozen=True):
    """Durations in seconds (`..._s`), sizes in bytes (`..._bytes`) and log lengths in slots (`..._slots`).

    Parameters
    ----------
    retransmit_interval_s, max_retransmit_interval_s
        Initial and largest interval at which a request is resent to voters that have not replied.
    base_backoff_s, max_backoff_s
        Initial and largest backoff after a rejected ballot; it doubles with each rejection.
    request_timeout_s
        A client request without an outcome after this time completes as `OutcomeUnknown`.
    poll_interval_s, poll_all_voters
        How often other voters are asked for new log entries, and whether all of them or one at random is asked.
        If not all are, the owner has to call `Node.record_contact` for every voter more often than
        `replace_after_s`.
    in_doubt_vote_timeout_s
        A vote whose ballot is still undecided after this time is resolved by a new ballot.
    join_interval_s
        Interval between two requests to join or to leave.
    suspect_after_s, replace_after_s, evict_after_s
        Time without contact after which a voter is suspected, may be replaced, and may be removed without a
        replacement.
    turn_interval_s
        Delay per rank before a voter proposes a change of voters, so that one voter proposes at a time.
    kept_slots, max_kept_slots, max_log_bytes
        The newest `kept_slots` entries are kept; older ones are kept up to the other two limits while the log is
        smaller than half of the state.
    max_run_bytes
        Size limit of the log entries in one message.
    chunk_bytes, chunk_window, chunk_timeout_s, download_timeout_s
        A state larger than `chunk_bytes` is transferred compressed and in chunks of that size, with up to
        `chunk_window` requests in flight. If no chunk arrives for `chunk_timeout_s`, the download switches to
        another source; if no new chunk arrives for `download_timeout_s`, to another snapshot.
    snapshot_retention_s
        How long a compressed snapshot is cached after the last request for one of its chunks.
    compression_level
        zlib level for snapshots.
    """

    retransmit_interval_s: float = 0.12
    max_retransmit_interval_s: float = 0.5
    base_backoff_s: float = 0.02
    max_backoff_s: float = 0.4
    request_timeout_s: float = 4.0
    poll_interval_s: float = 0.5
    poll_all_voters: bool = True
    in_doubt_vote_timeout_s: float = 0.25
    join_interval_s: float = 0.3
    suspect_after_s: float = 0.75
    replace_after_s: float = 1.2
    evict_after_s: float = 2.0
    turn_interval_s: float = 0.2
    kept_slots: int = 64
    max_log_bytes: int = 4 << 20
    max_kept_slots: int = 1024
    max_run_bytes: int = 32 << 10
    chunk_bytes: int = 32 << 10
    chunk_window: int = 2
    chunk_timeout_s: float = 1.0
    download_timeout_s: float = 4.0
    snapshot_retention_s: float = 10.0
    compression_level: int = 1
