"""`ibisknot-standin-weights`: a rate-limited weight store."""

from collections.abc import AsyncIterator
import dataclasses
from typing import Annotated

import anyio
import cappa
from starlette import requests
from starlette import responses
from starlette import routing

import ibisknot
from ibisknot import buckets
from ibisknot import errors
from ibisknot.standins import standin

CHUNK_BYTES = 256 * 1024


class Service:
    """Sends weights.

    Attributes:
        rate_bytes_s: Bytes per second for all readers together.
        size_bytes: Size of the weights of every model.
        bucket: Limits the rate; a token pays for one chunk.
    """

    def __init__(self, *, rate_bytes_s: float, size_bytes: int) -> None:
        self.rate_bytes_s = rate_bytes_s
        self.size_bytes = size_bytes
        self.bucket = buckets.Bucket(0.0, 0.0)

    def routes(self) -> list[routing.BaseRoute]:
        """Returns the routes."""
        path = "/weights/{model}/{version}"
        return [routing.Route(path, self.read_weights)]

    async def read_weights(
        self, request: requests.Request
    ) -> responses.Response:
        """Streams the weights of a version of a model."""
        if request.path_params["version"] == "missing":
            raise errors.NotFoundError("no such weights")
        headers = {"content-length": str(self.size_bytes)}
        return responses.StreamingResponse(
            self._stream_weights(), headers=headers
        )

    async def _stream_weights(self) -> AsyncIterator[bytes]:
        remaining_bytes = self.size_bytes
        rate = self.rate_bytes_s / CHUNK_BYTES
        while remaining_bytes > 0:
            now = anyio.current_time()
            if not buckets.consume(self.bucket, now, rate=rate, burst=1.0):
                await anyio.sleep(buckets.next_token_s(self.bucket, rate=rate))
                continue
            chunk_bytes = min(remaining_bytes, CHUNK_BYTES)
            remaining_bytes -= chunk_bytes
            yield bytes(chunk_bytes)


@dataclasses.dataclass
class Arguments:
    """Stands in for the platform's weight store."""

    address: Annotated[str, cappa.Arg(long=True)] = "127.0.0.1"
    port: Annotated[int, cappa.Arg(long=True)] = 9200
    rate_bytes_s: Annotated[float, cappa.Arg(long=True)] = 64e6
    size_bytes: Annotated[int, cappa.Arg(long=True)] = 16_000_000


def main() -> None:
    """Entry point of the program."""
    arguments = cappa.parse(Arguments, version=ibisknot.__version__)
    service = Service(
        rate_bytes_s=arguments.rate_bytes_s, size_bytes=arguments.size_bytes
    )
    standin.run(
        service.routes(), address=arguments.address, port=arguments.port
    )
