"""Certificates for tests, signed by a test authority."""

import datetime
import pathlib

from cryptography import x509
from cryptography.hazmat.primitives import hashes
from cryptography.hazmat.primitives import serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509 import oid

from ibisknot import settings

VALID_FROM = datetime.datetime(2024, 1, 1, tzinfo=datetime.UTC)
VALID_UNTIL = datetime.datetime(2124, 1, 1, tzinfo=datetime.UTC)


def _name(text: str) -> x509.Name:
    return x509.Name([x509.NameAttribute(oid.NameOID.COMMON_NAME, text)])


class Authority:
    """A certificate authority that writes its certificates into a folder.

    Attributes:
        folder: Folder of all files.
        name: Common name of the authority.
        key: The authority's private key.
        path: File of the authority's certificate.
    """

    def __init__(self, folder: pathlib.Path, name: str) -> None:
        self.folder = folder
        self.name = name
        self.key = ec.generate_private_key(ec.SECP256R1())
        self.path = folder / f"{name}.pem"
        builder = self._builder(name, self.key.public_key())
        builder = builder.add_extension(
            x509.BasicConstraints(ca=True, path_length=None), critical=True
        )
        usage = x509.KeyUsage(
            digital_signature=True,
            content_commitment=False,
            key_encipherment=False,
            data_encipherment=False,
            key_agreement=False,
            key_cert_sign=True,
            crl_sign=True,
            encipher_only=False,
            decipher_only=False,
        )
        builder = builder.add_extension(usage, critical=True)
        certificate = builder.sign(self.key, hashes.SHA256())
        self.path.write_bytes(
            certificate.public_bytes(serialization.Encoding.PEM)
        )

    def _builder(
        self, subject: str, key: ec.EllipticCurvePublicKey
    ) -> x509.CertificateBuilder:
        return (
            x509.CertificateBuilder()
            .subject_name(_name(subject))
            .issuer_name(_name(self.name))
            .public_key(key)
            .serial_number(x509.random_serial_number())
            .not_valid_before(VALID_FROM)
            .not_valid_after(VALID_UNTIL)
        )

    def issue(self, common_name: str, file_stem: str) -> settings.Tls:
        """Writes a certificate and its key; returns the paths as settings.

        Args:
            common_name: Common name in the certificate.
            file_stem: Name of the files without suffix; existing files are
                replaced.
        """
        key = ec.generate_private_key(ec.SECP256R1())
        signed = self._builder(common_name, key.public_key()).sign(
            self.key, hashes.SHA256()
        )
        certificate = self.folder / f"{file_stem}.pem"
        private_key = self.folder / f"{file_stem}.key"
        certificate.write_bytes(signed.public_bytes(serialization.Encoding.PEM))
        private_key.write_bytes(
            key.private_bytes(
                serialization.Encoding.PEM,
                serialization.PrivateFormat.PKCS8,
                serialization.NoEncryption(),
            )
        )
        return settings.Tls(
            certificate=str(certificate),
            private_key=str(private_key),
            authority=str(self.path),
        )
