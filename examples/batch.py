"""Runs a batch job through ibisknot with the unmodified openai client.

Usage: BASE_URL=... KEY=... python examples/batch.py
"""

import io
import json
import os
import time

import openai

ITEMS = 20
POLL_S = 0.5


def input_lines() -> bytes:
    """Returns the content of a batch input file, with one request per line."""
    items = [
        {
            "custom_id": f"listing-{index}",
            "method": "POST",
            "url": "/v1/chat/completions",
            "body": {
                "model": "small",
                "messages": [{"role": "user", "content": f"draft {index}"}],
                "max_tokens": 16,
            },
        }
        for index in range(ITEMS)
    ]
    return "\n".join(json.dumps(item) for item in items).encode()


def main() -> None:
    """Uploads the items, waits for the job and prints its results."""
    client = openai.OpenAI(
        base_url=os.environ["BASE_URL"], api_key=os.environ["KEY"]
    )
    file = client.files.create(
        file=("listings.jsonl", io.BytesIO(input_lines())), purpose="batch"
    )
    batch = client.batches.create(
        input_file_id=file.id,
        endpoint="/v1/chat/completions",
        completion_window="24h",
    )
    while batch.status not in ("completed", "failed", "cancelled"):
        time.sleep(POLL_S)
        batch = client.batches.retrieve(batch.id)
    print(batch.status)
    if batch.output_file_id is not None:
        print(client.files.content(batch.output_file_id).text)


if __name__ == "__main__":
    main()
