"""Transport over ZeroMQ: one PULL socket, and one PUSH socket per peer."""

from __future__ import annotations

import collections
import dataclasses
from typing import TYPE_CHECKING

from absl import logging
import trio
import zmq

from pimentobridge.protocol import addresses
from pimentobridge.protocol import codec
from pimentobridge.protocol import transport

if TYPE_CHECKING:
    from pimentobridge.core import types
    from pimentobridge.protocol import messages

SEND_QUEUE_FRAMES = 2000
IDLE_CHECK_S = 0.05
# Limit on the frames kept for a peer that isn't connected yet, and the time for
# which they are kept; older frames would be out of date on arrival.
MAX_UNSENT_FRAMES = 16
UNSENT_LIFETIME_S = 0.5
# Limits on the remembered causes of drops and on a logged address.
MAX_LOGGED_DROPS = 100
MAX_LOGGED_ADDRESS = 200


@dataclasses.dataclass
class _Peer:
    """A connection to a peer and the frames that aren't sent yet.

    Attributes:
        unsent: frames, each with the time when it was queued.
    """

    socket: zmq.Socket[bytes]
    unsent: collections.deque[tuple[float, bytes]] = dataclasses.field(
        default_factory=lambda: collections.deque(maxlen=MAX_UNSENT_FRAMES)
    )


class ZmqEndpoint:
    """A process's endpoint, to which peers connect at `listen`.

    Each direction between two peers has a connection of its own, so that
    resetting a silent connection doesn't affect the other direction.

    Args:
        listen: address to bind, such as `tcp://10.0.0.7:7000`.

    Attributes:
        sent_bytes: bytes of all frames sent.
        received_bytes: bytes of all frames received.
        dropped_frames: number of frames that were dropped unsent.
        malformed_frames: number of received frames that failed to decode.
    """

    def __init__(self, listen: types.Address) -> None:
        self._context = zmq.Context()
        self._address = listen
        self._pull: zmq.Socket[bytes] = self._context.socket(zmq.PULL)
        self._pull.setsockopt(zmq.LINGER, 0)
        self._pull.setsockopt(zmq.MAXMSGSIZE, codec.MAX_FRAME_BYTES)
        self._pull.bind(listen)
        self._peers_by_address: dict[types.Address, _Peer] = {}
        self._addresses_with_unsent: set[types.Address] = set()
        self._logged_drops: set[tuple[str, str]] = set()
        self._received: collections.deque[transport.Envelope] = (
            collections.deque()
        )
        self.sent_bytes = 0
        self.received_bytes = 0
        self.dropped_frames = 0
        self.malformed_frames = 0

    @property
    def address(self) -> types.Address:
        """Address that peers send to."""
        return self._address

    def send(self, to: types.Address, message: messages.Message) -> None:
        """Sends without waiting; the message may be lost.

        A message to a malformed address is dropped, and so is one that is
        longer than a frame may be: the receiver would close the connection.
        """
        if not addresses.is_valid(to):
            self._drop(to, "expected an address tcp://HOST:PORT")
            return
        data = codec.encode(self._address, message)
        if len(data) > codec.MAX_FRAME_BYTES:
            self._drop(to, f"{type(message).__name__} is longer than a frame")
            return
        self._peer(to).unsent.append((trio.current_time(), data))
        self._send_unsent(to)

    def reset(self, to: types.Address) -> None:
        """Drops the connection to `to`; the next send opens a new one."""
        self._addresses_with_unsent.discard(to)
        peer = self._peers_by_address.pop(to, None)
        if peer is not None:
            peer.socket.close(linger=0)

    async def receive(self) -> transport.Envelope:
        """Waits for the next message and returns it."""
        while not self._received:
            await self._wait_readable()
            self._drain()
            for to in list(self._addresses_with_unsent):
                self._send_unsent(to)
        return self._received.popleft()

    def close(self) -> None:
        """Closes all sockets and terminates the ZeroMQ context."""
        for peer in self._peers_by_address.values():
            peer.socket.close(linger=100)
        self._pull.close()
        self._context.term()

    async def _wait_readable(self) -> None:
        # The file descriptor is edge-triggered: check for pending events before
        # waiting. A missed edge delays the next check by IDLE_CHECK_S at most.
        if int(self._pull.getsockopt(zmq.EVENTS)) & zmq.POLLIN:
            await trio.lowlevel.checkpoint()
            return
        with trio.move_on_after(IDLE_CHECK_S):
            await trio.lowlevel.wait_readable(
                int(self._pull.getsockopt(zmq.FD))
            )

    def _drain(self) -> None:
        while True:
            try:
                data = self._pull.recv(zmq.NOBLOCK)
            except zmq.Again:
                return
            self._handle_frame(data)

    def _handle_frame(self, data: bytes) -> None:
        self.received_bytes += len(data)
        try:
            sender, message = codec.decode(data)
        except codec.DecodeError as error:
            self.malformed_frames += 1
            logging.warning("dropped a malformed frame: %s", error)
            return
        self._received.append(transport.Envelope(sender, message))

    def _send_unsent(self, to: types.Address) -> None:
        peer = self._peer(to)
        expired_before_s = trio.current_time() - UNSENT_LIFETIME_S
        while peer.unsent:
            queued_s, data = peer.unsent[0]
            if queued_s < expired_before_s:
                self.dropped_frames += 1
            elif not self._try_send(to, peer.socket, data):
                self._addresses_with_unsent.add(to)
                return
            peer.unsent.popleft()
        self._addresses_with_unsent.discard(to)

    def _try_send(
        self, to: types.Address, socket: zmq.Socket[bytes], data: bytes
    ) -> bool:
        """Sends a frame; returns False if it must be kept for a retry.

        A frame that the socket refuses with an error is dropped and counted.
        """
        try:
            socket.send(data, zmq.NOBLOCK)
        except zmq.Again:
            return False
        except zmq.ZMQError as error:
            self._drop(to, str(error))
        else:
            self.sent_bytes += len(data)
        return True

    def _drop(self, to: types.Address, reason: str) -> None:
        """Counts a dropped frame, and logs the first one of each cause."""
        self.dropped_frames += 1
        cause = (to[:MAX_LOGGED_ADDRESS], reason)
        if cause not in self._logged_drops:
            if len(self._logged_drops) >= MAX_LOGGED_DROPS:
                self._logged_drops.clear()
            self._logged_drops.add(cause)
            logging.warning("dropped a frame to %s: %s", *cause)

    def _peer(self, to: types.Address) -> _Peer:
        peer = self._peers_by_address.get(to)
        if peer is None:
            socket = self._context.socket(zmq.PUSH)
            socket.setsockopt(zmq.LINGER, 0)
            socket.setsockopt(zmq.SNDHWM, SEND_QUEUE_FRAMES)
            # ZeroMQ must not queue frames for a peer that isn't connected: they
            # would be out of date on arrival.
            socket.setsockopt(zmq.IMMEDIATE, 1)
            socket.connect(to)
            peer = self._peers_by_address[to] = _Peer(socket)
        return peer
