"""Chats with a model through ibisknot, with the openai client as it is.

Usage: BASE_URL=... KEY=... python examples/chat.py "Which strap fits?"
"""

import os
import sys

import openai


def main() -> None:
    """Prints the answer to one question as it arrives."""
    client = openai.OpenAI(
        base_url=os.environ["BASE_URL"], api_key=os.environ["KEY"]
    )
    question = sys.argv[1] if len(sys.argv) > 1 else "Hello"
    stream = client.chat.completions.create(
        model="small",
        messages=[{"role": "user", "content": question}],
        max_tokens=32,
        stream=True,
    )
    for chunk in stream:
        print(chunk.choices[0].delta.content or "", end="", flush=True)
    print()


if __name__ == "__main__":
    main()
