"""An operator's call that retires servers, or restores them."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from crowseam.discovery.errors import RetirementRaceError
from crowseam.discovery.server_record import ServerRecord
from crowseam.discovery.service_registry import ServiceCapacity

MIN_CAPACITY_FRACTION = 1 / 3  # of the slots of a service; a retirement that leaves less must be forced
MAX_WRITES = 3  # writes of one server before a concurrent change is reported


def services_below_minimum(capacity: Mapping[str, ServiceCapacity]) -> list[str]:
    """Return the services that would lose slots and keep too few."""
    return [
        service
        for service, slots in capacity.items()
        if slots.after < slots.before and slots.after < MIN_CAPACITY_FRACTION * slots.total
    ]


def remaining_fractions(capacity: Mapping[str, ServiceCapacity]) -> dict[str, float]:
    """Return the fraction of its slots that each service would have in use."""
    return {service: round(slots.after / slots.total, 3) if slots.total else 0.0 for service, slots in capacity.items()}


class RetirementCall:
    """Retires or restores servers until a majority of the voters has each change.

    Our own copy may lag behind what another controller has acknowledged. The majority's record may then turn out to
    be newer than what we wrote and contradict it, in which case the change is written again on top of it. `pending`
    are the servers that no majority has yet, `changed` those that were written.
    """

    def __init__(self, idents: Iterable[str], is_retired: bool) -> None:
        self.idents = sorted(idents)
        self.is_retired = is_retired
        self.pending = set(self.idents)
        self.changed: set[str] = set()
        self._writes = dict.fromkeys(self.idents, 0)

    def needs_rewrite(self, ident: str, record: ServerRecord | None) -> bool:
        """Record that a majority has `record`, and return whether the change must be written again on top of it.

        Raises
        ------
        RetirementRaceError
            If the change had to be written too often.
        """
        if record is None or record.phase == "gone" or record.is_retired == self.is_retired:
            self.pending.discard(ident)
            return False
        self._writes[ident] += 1
        if self._writes[ident] >= MAX_WRITES:
            raise RetirementRaceError(f"{ident} is retired and taken back at the same time")
        return True
