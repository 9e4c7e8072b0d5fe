"""A key-value client that calls the stand-in in process, with faults."""

from typing import Any

from ibisknot import errors
from ibisknot import keyvalue
from ibisknot import settings
from ibisknot.standins import standin_keyvalue

FAIL = "fail"
LOSE = "lose"
DROP = "drop"


class ScriptedKeyValue(keyvalue.KeyValue):
    """A client whose calls go to the stand-in without a network.

    Attributes:
        service: The stand-in.
        script: Faults of the next calls, by path: `fail` refuses the call,
            `lose` loses the answer of a call that took effect, and `drop`
            loses the call before it takes effect. The client gets the same
            error for the last two.
    """

    def __init__(self, service: standin_keyvalue.Service | None = None) -> None:
        super().__init__(settings.KeyValue(url="http://127.0.0.1:1"))
        self.service = service or standin_keyvalue.Service()
        self.script: dict[str, list[str]] = {}

    async def _post(
        self, path: str, body: dict[str, Any], *, writes: bool
    ) -> dict[str, Any]:
        faults = self.script.get(path, [])
        fault = faults.pop(0) if faults else ""
        if fault == FAIL:
            raise errors.KeyValueError("refused by the script")
        if fault == DROP:
            raise errors.KeyValueUnknownError("lost by the script")
        call = {
            "/v3/kv/range": self.service.read_range,
            "/v3/kv/txn": self.service.transact,
            "/v3/lease/grant": self.service.grant,
            "/v3/lease/keepalive": self.service.keep_alive,
            "/v3/lease/revoke": self.service.revoke,
        }[path]
        try:
            answer = call(body)
        except standin_keyvalue.RefusedError as error:
            raise errors.KeyValueError(error.message) from None
        if fault == LOSE:
            raise errors.KeyValueUnknownError("answer lost by the script")
        return answer
