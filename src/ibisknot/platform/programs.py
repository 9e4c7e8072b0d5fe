"""Starts the product's programs on the users' platform."""

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
from ibisknot import view_runner
from ibisknot import worker_program
from ibisknot import worker_retirement
from ibisknot.platform import configuration
from ibisknot.platform import entries
from ibisknot.platform import headers
from ibisknot.platform import jobs
from ibisknot.platform import retirement
from ibisknot.platform import settings
from ibisknot.platform import store

DIALECT = forward.Dialect(
    decode_metadata=headers.terms,
    encode_headers=headers.onward,
    is_response_to=headers.is_answer_to,
    says_not_run=headers.says_not_run,
    error_headers=headers.refusal,
)
BATCH = batch_api.Dialect(
    decode_call=jobs.call_of,
    decode_submission=jobs.submission,
    encode_page=jobs.page,
)
RETIRE = worker_retirement.Dialect(
    decode_order=retirement.order_of, encode_status=retirement.status
)
LAYOUT = view_runner.Layout(
    operator_prefix="op/",
    configuration_key="op/config",
    endpoints_prefix=entries.PREFIX,
    members_prefix="ibisknot/members/",
    decode_configuration=configuration.decode,
    decode_endpoint=entries.decode,
)


def _store(address: str, client: http_client.Client) -> pairs.KeyValueStore:
    return store.Store(address, client)


def _platform() -> node.Platform:
    return node.Platform(
        settings_path=settings.path_from_environment(),
        load_settings=settings.load,
        make_store=_store,
        layout=LAYOUT,
    )


def gateway() -> None:
    """Entry point of `ibisknot-gateway`."""
    _run(lambda: anyio.run(gateway_program.run, _platform(), DIALECT, BATCH))


def worker() -> None:
    """Entry point of `ibisknot-worker`."""
    _run(
        lambda: anyio.run(
            worker_program.run,
            _platform(),
            DIALECT,
            headers.item_headers,
            RETIRE,
        )
    )


def _run(program: Callable[[], None]) -> None:
    try:
        if sys.argv[1:]:
            importlib.import_module("ibisknot.platform.commands").run()
        logs.start_bounded()
        program()
    except errors.SettingsError as error:
        print(error.message, file=sys.stderr)
        raise SystemExit(2) from None
