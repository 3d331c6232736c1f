"""The native request path: one inference request from its arrival to its outcome.

Contains the parsing of callers' requests, admission, queues and load shedding, the choice of a
server, the exchange with it, retries, and the relay of streams. It may import `zincvale.model`,
`zincvale.transport`, and of the data plane `http`, `policies`, `resilience`, `demand`, `metrics`
and `log_events`; claims, the stream journal and tracing only through the protocols of
`dependencies`. docs/outcomes.md states what each outcome promises.

Reading order:

1. `requests`, `dependencies`, `events`: callers' requests, required protocols, inputs and effects.
2. `request_state`, `request_machine`: the pure state machine of one request.
3. `routing_state`, `routing`, `capacity`: tables, policy chains, and throughput estimates.
4. `verdicts`, `pending_request_queue`, `load_shedding`, `scheduler`: whether a request is placed,
   queued or rejected.
5. `backend_adapter`, `exchange_reader`, `server_side`: the exchange with a server.
6. `responses`, `stream_relay`, `caller_side`, `caller_connection`: the caller's side.
7. `context`, `dependency_calls`, `request_trace`, `runner`: execution of a machine's effects.
8. `ingress`, `node_service`: the start of a request, and the facade that a daemon assembles.
"""
