"""Evacuation of a data centre by the operator of a simulated deployment."""

from __future__ import annotations

import base64
from typing import TYPE_CHECKING

import trio

from pimentobridge.platform import operator_requests

if TYPE_CHECKING:
    from pimentobridge.lab import faults
    from pimentobridge.lab import world as world_lib

KIND = "data centre evacuated"
_VALUE = base64.b64encode(b"{}").decode()


async def evacuate(world: world_lib.World, fault: faults.Fault) -> None:
    """Evacuates the data centre of the first target for the fault's time."""
    data_centre = world.workers[fault.targets[0]].data_centre
    key = operator_requests.EVACUATE + data_centre
    world.store.put(key, _VALUE)
    world.checker.on_evacuation(data_centre)
    await trio.sleep(fault.for_s)
    world.checker.on_evacuation_ended(data_centre)
    world.store.delete(key)
