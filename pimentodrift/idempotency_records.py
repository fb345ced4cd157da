"""Idempotency records: SQL of the outcomes table and the encoding of its answers.

A record is written in the transaction of the write itself, so that an instance which
retries the write finds either no trace of the first attempt or its whole answer.
"""

from datetime import datetime, timedelta

import orjson

from .messages import Rows, Statement

RETENTION = timedelta(hours=24)  # How long a record is kept.
DELETE_LIMIT = 100  # Records per statement; keeps the slot time of a deletion short.

CREATE_TABLE = Statement(
    "CREATE TABLE IF NOT EXISTS pimentodrift_outcomes ("
    "workspace text NOT NULL, idempotency_key text NOT NULL, "
    "body_digest text NOT NULL, answer text, created_at bigint NOT NULL, "
    "PRIMARY KEY (workspace, idempotency_key))"
)


def insert(workspace: str, key: str, digest: str, now: datetime) -> Statement:
    """Return the statement that inserts a record; it gives no row if one exists."""
    return Statement(
        "INSERT INTO pimentodrift_outcomes "
        "(workspace, idempotency_key, body_digest, created_at) "
        "VALUES ($1, $2, $3, $4) ON CONFLICT DO NOTHING RETURNING workspace",
        (workspace, key, digest, int(now.timestamp())),
    )


def store_answer(workspace: str, key: str, rows: Rows) -> Statement:
    """Return the statement that stores the answer in the record."""
    return Statement(
        "UPDATE pimentodrift_outcomes SET answer = $1 "
        "WHERE workspace = $2 AND idempotency_key = $3",
        (encode_answer(rows).decode(), workspace, key),
    )


def select(workspace: str, key: str) -> Statement:
    """Return the statement that reads the digest and the answer of a record."""
    return Statement(
        "SELECT body_digest, answer FROM pimentodrift_outcomes "
        "WHERE workspace = $1 AND idempotency_key = $2",
        (workspace, key),
    )


def delete_expired(now: datetime) -> Statement:
    """Return the statement that deletes up to DELETE_LIMIT expired records."""
    return Statement(
        "DELETE FROM pimentodrift_outcomes WHERE (workspace, idempotency_key) IN "
        "(SELECT workspace, idempotency_key FROM pimentodrift_outcomes "
        f"WHERE created_at < $1 LIMIT {DELETE_LIMIT})",
        (int((now - RETENTION).timestamp()),),
    )


def encode_answer(rows: Rows) -> bytes:
    """Return the JSON that a caller gets."""
    return orjson.dumps({"columns": rows.columns, "rows": rows.rows})


def decode_answer(text: str) -> Rows:
    """Return the rows of a stored answer."""
    content = orjson.loads(text)
    return Rows(
        tuple(content["columns"]),
        tuple(tuple(row) for row in content["rows"]),
    )
