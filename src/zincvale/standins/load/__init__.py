"""The callers: open-loop load on the nodes, with retries and a check of every response.

Order to read: `spec` (the load file), `arrivals` and `popularity` (when, and which model),
`request_plan` (content and expected response of each request), `retry` (the decision after an
attempt), `event_stream` and `response_check`, `http_client` (one attempt), `progress` (the attempts
of one request), `callers` (runs all requests), `journal_rows` and `summary` (the output).

May import the modules at the top of `zincvale.standins`, no other sub-package.
"""
