"""TLS contexts of the peer protocol."""

import ssl

from ibisknot import settings


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
    context.load_cert_chain(files.certificate, files.private_key)
    return context
