"""Forwarding: the request path of a node that relays callers' HTTP requests to servers unchanged.

Owns the choice of a server, the waits for loads, the retries and the relayed response. It knows the
header names of callers and servers only through a dialect, and stores nothing: documents,
directories and residencies come from the control plane through a daemon. May import
`zincvale.model`, `zincvale.transport`, `dataplane.demand`, `dataplane.messages` and the spans'
interface of `dataplane.inference.dependencies`.

Reading order:

- `dialect` and `native_dialect`: what the headers of callers and servers state.
- `request_events` and `request_machine`: one request as a pure state machine, which alone
  decides what may be retried.
- `servers`, `route_table`, `fleet_budgets`, `routing_state`: the routing tables, and the limits
  over all nodes together.
- `policies`: which server a request is sent to; `pending_requests`: how long it waits for one.
- `node_context` and `forwarded_request`: they run the state machine on the event loop.
- `header_rewrite`, `event_splitter`, `caller_sink`, `caller_server`: what is read
  from and written to callers.
- `service`: the facade that a daemon assembles.
"""
