"""The text that the engine stand-in generates for a prompt.

A token depends only on the prompt and the token's index. A test can thus check
that a response is complete and belongs to its request, also after a stream was
resumed at another engine.
"""

import xxhash

_SYLLABLES = ("ba", "de", "ki", "lo", "mu", "na", "ri", "so", "ta", "ve")


def token(prompt: str, index: int) -> str:
    """Returns the token with an index, with a leading space.

    >>> token("a", 0) == token("a", 0), token("a", 0)[0]
    (True, ' ')
    """
    token_hash = xxhash.xxh3_64_intdigest(f"{index}/{prompt}".encode())
    syllables = [_SYLLABLES[token_hash // 10**k % 10] for k in range(3)]
    return " " + "".join(syllables)


def text(prompt: str, count: int, *, first_index: int = 0) -> str:
    """Returns `count` tokens from the token `first_index` on."""
    return "".join(token(prompt, first_index + k) for k in range(count))
