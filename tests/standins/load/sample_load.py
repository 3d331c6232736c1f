"""A sample load, and the resources to which it refers, for the tests of the callers."""

from zincvale.model.resources import Document
from zincvale.standins.load.spec import (
    Between,
    CallerSpec,
    LoadSpec,
)

MODELS = [f"m{number}" for number in range(10)]


def documents():
    rows = [
        Document("Pool", "llm", {"kind": "language-model"}),
        Document("Pool", "bins", {"kind": "lookup"}),
        Document("Route", "chats", {"path": "/v1/chats", "pool": "llm", "stream": True}),
        Document("Route", "scans", {"path": "/v1/scans", "pool": "bins", "at_most_once": True}),
        Document("Adapter", "m1-a", {"base_model": "m1", "weight_bytes": 1, "store": "s"}),
    ]
    for name in MODELS:
        spec = {"weight_bytes": 1, "store": "s", "pool": "llm"}
        rows.append(Document("Model", name, spec))
    return rows


def spec(**changes):
    chats = CallerSpec("chats", "chats", 5.0, turns=Between(2, 2), shared_prefix_words=30)
    return LoadSpec([chats, CallerSpec("scans", "scans", 4.0, keys=3)], **changes)
