"""Entry points of the programs on the users' platform."""

from collections.abc import Callable
import importlib
import sys

import anyio

from ibisknot import batch_api
from ibisknot import errors
from ibisknot import forward
from ibisknot import gateway_program
from ibisknot import http_client
from ibisknot import logs
from ibisknot import node
from ibisknot import pairs
from ibisknot import store_layout
from ibisknot import worker_program
from ibisknot import worker_retirement
from ibisknot.platform import configuration
from ibisknot.platform import entries
from ibisknot.platform import headers
from ibisknot.platform import jobs
from ibisknot.platform import key_value_store
from ibisknot.platform import retirement
from ibisknot.platform import settings

REQUEST_DIALECT = forward.Dialect(
    decode_metadata=headers.decode_metadata,
    encode_headers=headers.encode_headers,
    is_response_to=headers.is_response_to,
    says_not_run=headers.says_not_run,
    error_headers=headers.error_headers,
    request_limit=headers.request_limit,
    says_leaving=headers.says_leaving,
    is_from_endpoint=headers.is_from_endpoint,
    own_response_headers=frozenset({headers.LEAVING.lower()}),
)
BATCH_DIALECT = batch_api.Dialect(
    decode_call=jobs.decode_call,
    decode_submission=jobs.decode_submission,
    encode_page=jobs.encode_page,
)
RETIREMENT_DIALECT = worker_retirement.Dialect(
    decode_order=retirement.decode_order, encode_status=retirement.encode_status
)
LAYOUT = store_layout.Layout(
    operator_prefix="op/",
    configuration_key=configuration.KEY,
    endpoints_prefix=entries.KEY_PREFIX,
    members_prefix="ibisknot/members/",
    decode_configuration=configuration.decode,
    decode_endpoint=entries.decode,
    evacuations_prefix="op/evacuate/",
)


def _make_store(
    address: str, client: http_client.Client
) -> pairs.KeyValueStore:
    return key_value_store.Client(address, client)


def _make_platform() -> node.Platform:
    return node.Platform(
        settings_path=settings.path_from_environment(),
        load_settings=settings.load,
        make_store=_make_store,
        layout=LAYOUT,
    )


def gateway() -> None:
    """Entry point of `ibisknot-gateway`."""
    _run(
        lambda: anyio.run(
            gateway_program.run,
            _make_platform(),
            REQUEST_DIALECT,
            BATCH_DIALECT,
        )
    )


def worker() -> None:
    """Entry point of `ibisknot-worker`."""
    _run(
        lambda: anyio.run(
            worker_program.run,
            _make_platform(),
            REQUEST_DIALECT,
            headers.item_headers,
            RETIREMENT_DIALECT,
        )
    )


def _run(program: Callable[[], None]) -> None:
    try:
        if sys.argv[1:]:
            importlib.import_module("ibisknot.platform.commands").run_command()
        logs.start_bounded()
        program()
    except errors.SettingsError as error:
        print(error.message, file=sys.stderr)
        raise SystemExit(2) from None
