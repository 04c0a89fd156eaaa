"""The lease that one gateway holds on the quotas of one shard of tenants."""

from __future__ import annotations

from crowseam.quotas.lease_messages import NO_FENCING_TOKEN, SHARE_UNITS, LeaseReport, QuotaLease

MANY_TENANTS = 64  # in one lease; with more of them nearly every lease lowers some share
PROMPT_REPORT_GAP_S = 0.3  # a report this soon after the previous one is a prompt one
MIN_PROMPT_INTERVAL_S = 0.4  # between prompt reports of lowered shares, where there are many tenants
MIN_PROMPT_DECREASE = SHARE_UNITS // 50  # smallest decrease of a share that is confirmed promptly
_NEVER = float("-inf")


class GatewayLeases:
    """The lease of one shard. `incarnation` must increase with each start of the process."""

    def __init__(self, incarnation: int) -> None:
        self.incarnation = incarnation
        self.fencing_token = NO_FENCING_TOKEN
        self._epoch = 0
        self._expires_at = _NEVER
        self._shares: dict[str, int] = {}
        self._changed: set[str] = set()  # tenants whose share or expiry changed since `take_changed`
        self._reported_at = _NEVER
        self._prompt_report_at = _NEVER
        self._is_expiry_noted = True

    def apply(self, lease: QuotaLease, now: float) -> bool:
        """Apply a lease unless it is outdated; returns whether to send the next report at once.

        A prompt report is due if a share decreased considerably or the grantor is new, because other gateways wait
        for the confirmation. With many tenants nearly every lease lowers one of their shares; prompt reports of
        decreases are then limited to one per `MIN_PROMPT_INTERVAL_S`.
        """
        if lease.incarnation != self.incarnation or lease.fencing_token < self.fencing_token:
            return False
        if lease.fencing_token == self.fencing_token and lease.epoch <= self._epoch:
            return False
        is_new_grantor = lease.fencing_token > self.fencing_token
        is_decreased = bool(lease.epoch) and any(
            share - lease.shares.get(tenant, 0) >= MIN_PROMPT_DECREASE for tenant, share in self._shares.items()
        )
        self.fencing_token = lease.fencing_token
        self._epoch = lease.epoch
        if lease.epoch:
            self._expires_at = lease.sent_at + lease.term_s
            self._changed |= self._shares.keys() | lease.shares.keys()
            self._shares = lease.shares
            self._is_expiry_noted = False
        may_prompt = len(lease.shares) < MANY_TENANTS or now - self._prompt_report_at >= MIN_PROMPT_INTERVAL_S
        return is_new_grantor or (is_decreased and may_prompt)

    def share(self, tenant: str, now: float) -> float | None:
        """Return the share of the tenant's quota that this gateway may use (0 to 1), or None without a lease."""
        if now >= self._expires_at:
            return None
        share = self._shares.get(tenant)
        return None if share is None else share / SHARE_UNITS

    def take_changed(self, now: float) -> set[str]:
        """Return the tenants whose share or expiry has changed since the last call."""
        if not self._is_expiry_noted and now >= self._expires_at:
            self._is_expiry_noted = True
            self._changed |= self._shares.keys()
        changed, self._changed = self._changed, set()
        return changed

    def remaining_s(self, now: float) -> float:
        """Return the seconds until the lease expires."""
        return max(0.0, self._expires_at - now)

    def report(self, now: float) -> LeaseReport:
        """Return the report for the grantor; to be sent at once, and in increasing order of `now`."""
        remaining_s = self.remaining_s(now)
        if now - self._reported_at < PROMPT_REPORT_GAP_S:
            self._prompt_report_at = now
        self._reported_at = now
        shares = self._shares if remaining_s else {}
        return LeaseReport(self.incarnation, now, self.fencing_token, self._epoch, remaining_s, shares)
