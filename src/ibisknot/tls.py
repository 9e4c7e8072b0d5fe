"""TLS contexts for connections of callers and peers, and their reload.

A context is reloaded in place, so that new connections use the new certificate
and open ones continue. Peers accept every certificate that the fleet's
authority signed, without a check of the name, because the set of VMs changes
and any VM may have any role.
"""

import pathlib
import ssl

from ibisknot import logs
from ibisknot import settings

RELOAD_PERIOD_S = 2.0
"""Seconds between checks of the files for changes."""

FileVersions = tuple[tuple[int, int], ...]
"""Modification time in nanoseconds and inode of each file."""


def caller_listener_context(
    files: settings.Tls | None,
) -> ssl.SSLContext | None:
    """Returns the context of the listener for callers; None without TLS."""
    if files is None:
        return None
    context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    context.set_alpn_protocols(["h2", "http/1.1"])
    context.load_cert_chain(files.certificate, files.private_key)
    return context


def peer_listener_context(files: settings.Tls | None) -> ssl.SSLContext | None:
    """Returns the context of the peer listener; None without TLS.

    Peers must present a certificate.
    """
    if files is None:
        return None
    context = ssl.create_default_context(
        ssl.Purpose.CLIENT_AUTH, cafile=files.authority
    )
    context.load_cert_chain(files.certificate, files.private_key)
    context.verify_mode = ssl.CERT_REQUIRED
    return context


def peer_client_context(files: settings.Tls | None) -> ssl.SSLContext | None:
    """Returns the context for calls to peers; None without TLS."""
    if files is None:
        return None
    context = ssl.create_default_context(
        ssl.Purpose.SERVER_AUTH, cafile=files.authority
    )
    context.check_hostname = False
    context.load_cert_chain(files.certificate, files.private_key)
    return context


def read_file_versions(files: settings.Tls) -> FileVersions | None:
    """Returns the versions of the files; None if one is missing."""
    names = [files.certificate, files.private_key]
    if files.authority is not None:
        names.append(files.authority)
    try:
        stats = [pathlib.Path(name).stat() for name in names]
    except OSError:
        return None
    return tuple((stat.st_mtime_ns, stat.st_ino) for stat in stats)


class Reloader:
    """Reloads contexts when their files change.

    Attributes:
        watched: Files and contexts, in the order of the calls of `watch`.
        loaded_versions: Versions of the files that each context has loaded,
            by index in `watched`.
    """

    def __init__(self) -> None:
        self.watched: list[tuple[settings.Tls, ssl.SSLContext]] = []
        self.loaded_versions: dict[int, FileVersions | None] = {}

    def watch(
        self, files: settings.Tls | None, context: ssl.SSLContext | None
    ) -> ssl.SSLContext | None:
        """Adds a context to those that are reloaded; returns it."""
        if files is not None and context is not None:
            self.loaded_versions[len(self.watched)] = read_file_versions(files)
            self.watched.append((files, context))
        return context

    async def tick(self, _now: float) -> None:
        """Timer callback: reloads the contexts whose files changed."""
        for index, (files, context) in enumerate(self.watched):
            versions = read_file_versions(files)
            if versions is None or versions == self.loaded_versions[index]:
                continue
            if reload(files, context):
                self.loaded_versions[index] = versions


def reload(files: settings.Tls, context: ssl.SSLContext) -> bool:
    """Loads new files into a context; returns whether that succeeded.

    The files are loaded into a temporary context first, because a certificate
    that does not match its key would leave the context without a key pair.
    """
    try:
        probe = ssl.create_default_context(cafile=files.authority)
        probe.load_cert_chain(files.certificate, files.private_key)
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
