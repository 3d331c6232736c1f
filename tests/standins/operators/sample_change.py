"""The resource that the operators' tests change."""

POOL = {"kind": "Pool", "name": "p", "spec": {"max_queue": "$n"}}
