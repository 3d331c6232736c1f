"""HTTP details of the native request path, without decisions about requests.

Owns the parser of server-sent events and the handlers for readiness, health and metrics. May import
`zincvale.model` and the interface of `dataplane.inference.ingress`. Reading order: `event_reader`,
`handlers`.
"""
