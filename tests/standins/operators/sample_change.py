"""Resource that the tests of the operators change."""

POOL = {"kind": "Pool", "name": "p", "spec": {"max_queue": "$n"}}
