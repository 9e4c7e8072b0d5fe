"""Tests mutual TLS between VMs, and the reload of certificates."""

import pathlib
import socket
import ssl
from typing import Any

import anyio
from anyio.streams import tls as anyio_tls
from certificates import Authority
from cryptography import x509
import pytest
from starlette import requests
from starlette import responses
from starlette import routing

from ibisknot import errors
from ibisknot import peer
from ibisknot import settings
from ibisknot import tls
from ibisknot import web
from ibisknot.gen.config import ttypes


def free_port() -> int:
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        port: int = probe.getsockname()[1]
        return port


async def get_version(_ask: Any) -> Any:
    return ttypes.VersionInForce(version=7)


async def call_peer(context: ssl.SSLContext | None, port: int) -> Any:
    """Calls a peer; returns the version in its response, None on failure."""
    async with anyio.create_task_group() as task_group:
        client = peer.Client(task_group, tls=context)
        try:
            response = await client.call(
                f"127.0.0.1:{port}",
                "version_in_force",
                ttypes.VersionAsk(),
                ttypes.VersionInForce,
                timeout_s=5.0,
            )
        except errors.PeerError:
            response = None
        task_group.cancel_scope.cancel()
    return response and response.version


async def start_peer(task_group: Any, files: settings.Tls) -> int:
    """Starts a peer server with TLS; returns its port."""
    port = free_port()
    server = peer.Server(tls=tls.peer_listener_context(files))
    server.on("version_in_force", ttypes.VersionAsk, get_version)
    task_group.start_soon(server.serve, "127.0.0.1", port)
    for _ in range(500):
        try:
            async with await anyio.connect_tcp("127.0.0.1", port):
                return port
        except OSError:
            await anyio.sleep(0.02)
    raise AssertionError("the peer did not start")


@pytest.mark.anyio
async def test_peers_without_the_fleets_certificate_are_refused(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against peers without a certificate of the fleet's authority."""
    fleet = Authority(tmp_path, "fleet")
    other_fleet = Authority(tmp_path, "stranger")
    files = fleet.issue("vm-1", "vm-1")
    other_files = other_fleet.issue("vm-2", "vm-2")
    without_certificate = ssl.create_default_context(cafile=str(fleet.path))
    without_certificate.check_hostname = False
    other_authority = ssl.create_default_context(cafile=str(fleet.path))
    other_authority.check_hostname = False
    other_authority.load_cert_chain(
        other_files.certificate, other_files.private_key
    )
    async with anyio.create_task_group() as task_group:
        port = await start_peer(task_group, files)
        assert await call_peer(tls.peer_client_context(files), port) == 7
        for context in (
            None,
            without_certificate,
            other_authority,
            tls.peer_client_context(other_files),
        ):
            assert await call_peer(context, port) is None
        assert await call_peer(tls.peer_client_context(files), port) == 7
        task_group.cancel_scope.cancel()


@pytest.mark.anyio
async def test_reload_keeps_the_old_pair_until_the_new_one_fits(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against a half-replaced pair that fails all new connections."""
    authority = Authority(tmp_path, "fleet")
    files = authority.issue("old", "vm")
    context = tls.caller_listener_context(files)
    assert context is not None
    reloader = tls.Reloader()
    reloader.watch(files, context)
    async with anyio.create_task_group() as task_group:
        port = free_port()
        stop = anyio.Event()

        async def hello(_request: requests.Request) -> responses.Response:
            return web.json_response({})

        async def serve() -> None:
            await web.serve(
                web.make_application([routing.Route("/", hello)]),
                address="127.0.0.1",
                port=port,
                stop=stop,
                tls=files,
                tls_context=context,
                drain_timeout_s=0.1,
            )

        task_group.start_soon(serve)
        assert await presented_name(port) == "old"
        key_path = pathlib.Path(files.private_key)
        old_key = key_path.read_bytes()
        authority.issue("new", "vm")
        new_key = key_path.read_bytes()
        key_path.write_bytes(old_key)
        await reloader.tick(0.0)
        assert await presented_name(port) == "old"
        key_path.write_bytes(new_key)
        await reloader.tick(0.0)
        assert await presented_name(port) == "new"
        stop.set()


async def presented_name(port: int) -> str:
    """Returns the name in the certificate that a listener presents."""
    context = ssl.create_default_context()
    context.check_hostname = False
    context.verify_mode = ssl.CERT_NONE
    for _ in range(500):
        try:
            stream = await anyio.connect_tcp(
                "127.0.0.1",
                port,
                ssl_context=context,
                tls_hostname="vm",
                tls_standard_compatible=False,
            )
        except OSError:
            await anyio.sleep(0.02)
            continue
        async with stream:
            ssl_object = stream.extra(anyio_tls.TLSAttribute.ssl_object)
            data = ssl_object.getpeercert(binary_form=True)
        assert data is not None
        subject = x509.load_der_x509_certificate(data).subject
        return str(next(iter(subject)).value)
    raise AssertionError("the listener did not start")
