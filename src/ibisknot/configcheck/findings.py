"""What a check of a configuration has found."""

import dataclasses

ERROR = "error"
WARNING = "warning"


@dataclasses.dataclass(slots=True, frozen=True)
class Finding:
    """One entry that is wrong or has no effect.

    Attributes:
        level: `error` or `warning`.
        code: Stable name of the kind of finding.
        section: `routes`, `services` or `organisations`.
        index: Index of the entry in its section.
        field: Attribute of the entry; empty for the entry itself.
        message: What is wrong, in a sentence.
    """

    level: str
    code: str
    section: str
    index: int
    field: str
    message: str
