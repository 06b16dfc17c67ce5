"""Orders the workers that can hold a unit by what a placement there costs.

Each preference states one cost. The costs are compared in the order of the
preferences, and only among workers that may run the unit: no preference keeps a
unit waiting while a worker has room for it.
"""

from __future__ import annotations

import abc
from typing import TYPE_CHECKING
from typing import Protocol

if TYPE_CHECKING:
    from collections.abc import Sequence

    from pimentobridge.core.scheduling import fleet
    from pimentobridge.core.scheduling import placement


class Preference(Protocol):
    """States what it costs to place a member of a unit on a worker."""

    def cost(
        self, worker: fleet.TrackedWorker, demand: placement.Demand
    ) -> float:
        """Returns the cost; workers with the lowest are preferred.

        Costs that differ only a little should be equal, so that the preferences
        that follow and the packing decide between them.
        """
        ...


class SlowestMemberPreference(abc.ABC):
    """A preference by which a gang costs what its most costly member costs.

    If it is the last one, a gang leaves cheaper workers to others once it needs
    a more costly one anyway.
    """

    @abc.abstractmethod
    def cost(
        self, worker: fleet.TrackedWorker, demand: placement.Demand
    ) -> float:
        """Returns the cost, see `Preference`."""


def costs(
    preferences: Sequence[Preference],
    worker: fleet.TrackedWorker,
    demand: placement.Demand,
) -> tuple[float, ...]:
    """Returns the costs of a placement, in the order of the preferences."""
    return tuple(preference.cost(worker, demand) for preference in preferences)
