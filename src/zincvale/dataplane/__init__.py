"""The data plane: what a node does with callers' requests.

Owns the two request paths and what they share. It never imports the control plane or the tracing
plane: tables arrive through services that a daemon assembles, and spans leave through an interface.
May import `zincvale.model` and `zincvale.transport`.

Reading order:

- `messages`, `demand`: what a node reports to the placement leader. `metrics`, `log_events` and
  `claims.log_events`: what it exposes.
- `inference`: the native request path, which knows models, prompts and outcomes. It uses `policies`
  (which server), `resilience` (limits and outlier detection) and `http` (parsing and handlers).
- `claims` and `stream_journal`: at-most-once execution and resumable streams of that path.
- `forwarding`: the other request path, which relays callers' requests unchanged.
"""
