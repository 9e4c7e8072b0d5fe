"""`ibisknot-standin-platform`: key-value service of the users' platform.

It serves the platform's interface and that of the key-value stand-in on the
same data, and has the faults of the stand-in. A route of its own writes what
an operator or an engine writes.
"""

import dataclasses
from typing import Annotated

import anyio
import cappa

import ibisknot
from ibisknot.standins import standin
from ibisknot.standins import standin_keyvalue
from ibisknot.standins import standin_platform_store


@dataclasses.dataclass
class Arguments:
    """Stands in for the key-value service of the users' platform."""

    address: Annotated[str, cappa.Arg(long=True)] = "127.0.0.1"
    port: Annotated[int, cappa.Arg(long=True)] = 8688
    seed: Annotated[int, cappa.Arg(long=True)] = 0


def main() -> None:
    """Entry point of the program."""
    arguments = cappa.parse(Arguments, version=ibisknot.__version__)
    service = standin_keyvalue.Service(seed=arguments.seed)
    store = standin_platform_store.PlatformStore(service)

    async def background() -> None:
        async with anyio.create_task_group() as task_group:
            task_group.start_soon(service.run_expiry)
            task_group.start_soon(store.run_delayed_writes)

    standin.run(
        [*service.routes(), *store.routes()],
        address=arguments.address,
        port=arguments.port,
        background=background,
    )
