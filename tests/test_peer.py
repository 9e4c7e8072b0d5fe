"""Calls between processes: slow peers and unresponsive connections."""

import anyio
from anyio import abc
import pytest

from ibisknot import errors
from ibisknot import peer
from ibisknot.gen.peer import ttypes

HOST = "127.0.0.1"


async def _serve(
    task_group: abc.TaskGroup, respond: peer.Handler
) -> tuple[str, list[int]]:
    """Serves one method; returns the address and the count of connections."""
    server = peer.Server()
    server.on("echo", ttypes.Empty, respond)
    listener = await anyio.create_tcp_listener(local_host=HOST)
    port = listener.extra(abc.SocketAttribute.local_port)
    connections: list[int] = []

    async def handle(stream: abc.SocketStream) -> None:
        connections.append(1)
        await server._serve_connection(stream)

    task_group.start_soon(listener.serve, handle)
    return f"{HOST}:{port}", connections


def test_slow_peer_keeps_its_connection(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against new connections that a busy peer has to accept."""
    monkeypatch.setattr(peer, "UNRESPONSIVE_TIMEOUT_S", 5.0)

    async def main() -> None:
        async def respond(_message: ttypes.Empty) -> ttypes.Empty:
            await anyio.sleep(0.2)
            return ttypes.Empty()

        async with anyio.create_task_group() as task_group:
            address, connections = await _serve(task_group, respond)
            client = peer.Client(task_group)
            for _ in range(3):
                with pytest.raises(errors.PeerError):
                    await client.call(
                        address, "echo", ttypes.Empty(), timeout_s=0.05
                    )
            await client.call(address, "echo", ttypes.Empty(), timeout_s=5.0)
            assert len(connections) == 1
            task_group.cancel_scope.cancel()

    anyio.run(main)


def test_unresponsive_connection_is_replaced(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against calls on a connection that was lost without notice."""
    monkeypatch.setattr(peer, "UNRESPONSIVE_TIMEOUT_S", 0.1)

    async def main() -> None:
        ignores_calls = [True]

        async def respond(_message: ttypes.Empty) -> ttypes.Empty:
            if ignores_calls[0]:
                await anyio.sleep_forever()
            return ttypes.Empty()

        async with anyio.create_task_group() as task_group:
            address, connections = await _serve(task_group, respond)
            client = peer.Client(task_group)
            with pytest.raises(errors.PeerError):
                await client.call(
                    address, "echo", ttypes.Empty(), timeout_s=0.2
                )
            ignores_calls[0] = False
            await client.call(address, "echo", ttypes.Empty(), timeout_s=5.0)
            assert len(connections) == 2
            task_group.cancel_scope.cancel()

    anyio.run(main)
