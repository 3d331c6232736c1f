"""Delivery of chunks to their collectors, with flow control and retries.

Owns each chunk from its recorder until its collector acknowledges the verdict. Imports `chunks`,
`config`, `messages` and `ownership` of tracing, none of its other packages.

Read in this order: `links` (queues, batch in flight and credit for one collector),
`retained_batches` (acked batches whose traces are undecided), `sender` (the state machine).
"""
