"""TLS contexts of callers' and peers' connections, and their reload.

A context is reloaded in place, so new connections use the new certificate
and open ones go on. Peers accept every certificate that the fleet's authority
signed: VMs come and go, and any VM may take any part.
"""

import pathlib
import ssl

from ibisknot import logs
from ibisknot import settings

RELOAD_PERIOD_S = 2.0

Stamp = tuple[tuple[int, int], ...]


def caller_context(files: settings.Tls | None) -> ssl.SSLContext | None:
    """Returns the context of the callers' listener."""
    if files is None:
        return None
    context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    context.set_alpn_protocols(["h2", "http/1.1"])
    context.load_cert_chain(files.certificate, files.private_key)
    return context


def server_context(files: settings.Tls | None) -> ssl.SSLContext | None:
    """Returns the context of a peer listener; peers must show a certificate."""
    if files is None:
        return None
    context = ssl.create_default_context(
        ssl.Purpose.CLIENT_AUTH, cafile=files.authority
    )
    context.load_cert_chain(files.certificate, files.private_key)
    context.verify_mode = ssl.CERT_REQUIRED
    return context


def client_context(files: settings.Tls | None) -> ssl.SSLContext | None:
    """Returns the context for calls to peers."""
    if files is None:
        return None
    context = ssl.create_default_context(
        ssl.Purpose.SERVER_AUTH, cafile=files.authority
    )
    context.check_hostname = False
    context.load_cert_chain(files.certificate, files.private_key)
    return context


def stamp(files: settings.Tls) -> Stamp | None:
    """Returns what changes with the files, None when one is missing."""
    names = [files.certificate, files.private_key]
    if files.authority is not None:
        names.append(files.authority)
    try:
        found = [pathlib.Path(name).stat() for name in names]
    except OSError:
        return None
    return tuple((stat.st_mtime_ns, stat.st_ino) for stat in found)


class Reloader:
    """Reloads contexts when their files change."""

    def __init__(self) -> None:
        self.watched: list[tuple[settings.Tls, ssl.SSLContext]] = []
        self.stamps: dict[int, Stamp | None] = {}

    def watch(
        self, files: settings.Tls | None, context: ssl.SSLContext | None
    ) -> ssl.SSLContext | None:
        """Adds a context; returns it."""
        if files is not None and context is not None:
            self.stamps[len(self.watched)] = stamp(files)
            self.watched.append((files, context))
        return context

    async def tick(self, _now: float) -> None:
        """Timer callback: reloads the contexts whose files changed."""
        for number, (files, context) in enumerate(self.watched):
            found = stamp(files)
            if found is None or found == self.stamps[number]:
                continue
            if reload(files, context):
                self.stamps[number] = found


def reload(files: settings.Tls, context: ssl.SSLContext) -> bool:
    """Loads new files into a context; returns whether they fit together.

    The files are tried on another context first, because a certificate that
    does not fit its key would leave this one without either.
    """
    try:
        trial = ssl.create_default_context(cafile=files.authority)
        trial.load_cert_chain(files.certificate, files.private_key)
    except (OSError, ssl.SSLError) as error:
        logs.event(
            "certificate_not_reloaded",
            level="warning",
            certificate=files.certificate,
            error=repr(error),
        )
        return False
    context.load_cert_chain(files.certificate, files.private_key)
    if files.authority is not None:
        context.load_verify_locations(cafile=files.authority)
    logs.event("certificate_reloaded", certificate=files.certificate)
    return True
