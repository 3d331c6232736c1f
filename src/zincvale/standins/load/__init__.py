"""The callers: open-loop load on the nodes, with retries and a check of every response.

Order to read: `spec` (the load file), `arrivals` and `popularity` (when, and which model),
`request_plan` (content and expected response of each request), `retry` (what follows an attempt),
`event_stream` and `response_check` (pure), `http_client` (one attempt), `progress`, `callers`
(drives all of it), `journal_rows` and `summary` (what is written).

May import the modules at the top of `zincvale.standins`, no other sub-package.
"""
