"""Forwarding: the request path of a node that relays callers' HTTP requests to servers unchanged.

Owns the choice of a server, waiting for loads, retries and the relayed response. It knows no names
on the wire beyond a dialect's, and stores nothing: the control plane's documents, directories and
residencies come from outside. May import `zincvale.model`, `zincvale.transport`,
`dataplane.demand`, `dataplane.messages` and the spans' interface of
`dataplane.inference.dependencies`.

Reading order:

- `dialect` and `native_dialect`: what heads of callers and servers state.
- `request_events` and `request_machine`: one request as a pure state machine. It alone decides what
  may be retried.
- `servers`, `route_table`, `fleet_budgets`, `routing_state`: the tables, and the limits that all
  nodes keep together.
- `policies`: which server a request goes to; `pending_requests`: how long it waits for one.
- `node_context` and `forwarded_request`: the runner of the machine on the event loop.
- `header_rewrite`, `event_splitter`, `caller_sink`, `caller_server`: the bytes of both sides.
- `service`: the facade that a daemon assembles.
"""
