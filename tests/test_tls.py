"""Mutual TLS between VMs, and certificates that change."""

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


async def answer(_ask: Any) -> Any:
    return ttypes.VersionInForce(version=7)


async def call(context: ssl.SSLContext | None, port: int) -> Any:
    """Calls the peer once; returns the version that it answers, or None."""
    async with anyio.create_task_group() as group:
        client = peer.Client(group, tls=context)
        try:
            found = await client.call(
                f"127.0.0.1:{port}",
                "version_in_force",
                ttypes.VersionAsk(),
                ttypes.VersionInForce,
                timeout_s=5.0,
            )
        except errors.PeerError:
            found = None
        group.cancel_scope.cancel()
    return found and found.version


async def start(group: Any, files: settings.Tls) -> int:
    """Starts a peer with TLS; returns its port."""
    port = free_port()
    server = peer.Server(tls=tls.server_context(files))
    server.on("version_in_force", ttypes.VersionAsk, answer)
    group.start_soon(server.serve, "127.0.0.1", port)
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
    """Guards against strangers who take part in the peer protocol."""
    fleet = Authority(tmp_path, "fleet")
    stranger = Authority(tmp_path, "stranger")
    files = fleet.issue("vm-1", "vm-1")
    other = stranger.issue("vm-2", "vm-2")
    bare = ssl.create_default_context(cafile=str(fleet.path))
    bare.check_hostname = False
    foreign = ssl.create_default_context(cafile=str(fleet.path))
    foreign.check_hostname = False
    foreign.load_cert_chain(other.certificate, other.private_key)
    async with anyio.create_task_group() as group:
        port = await start(group, files)
        assert await call(tls.client_context(files), port) == 7
        for context in (None, bare, foreign, tls.client_context(other)):
            assert await call(context, port) is None
        assert await call(tls.client_context(files), port) == 7
        group.cancel_scope.cancel()


@pytest.mark.anyio
async def test_reload_keeps_the_old_pair_until_the_new_one_fits(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against a half-written pair that ends all new connections."""
    authority = Authority(tmp_path, "fleet")
    files = authority.issue("old", "vm")
    context = tls.caller_context(files)
    assert context is not None
    reloader = tls.Reloader()
    reloader.watch(files, context)
    async with anyio.create_task_group() as group:
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

        group.start_soon(serve)
        assert await shown_name(port) == "old"
        key = pathlib.Path(files.private_key)
        whole = key.read_bytes()
        authority.issue("new", "vm")
        new_key = key.read_bytes()
        key.write_bytes(whole)
        await reloader.tick(0.0)
        assert await shown_name(port) == "old"
        key.write_bytes(new_key)
        await reloader.tick(0.0)
        assert await shown_name(port) == "new"
        stop.set()


async def shown_name(port: int) -> str:
    """Returns the name in the certificate that a listener shows."""
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
            found = stream.extra(anyio_tls.TLSAttribute.ssl_object)
            data = found.getpeercert(binary_form=True)
        assert data is not None
        subject = x509.load_der_x509_certificate(data).subject
        return str(next(iter(subject)).value)
    raise AssertionError("the listener did not start")
