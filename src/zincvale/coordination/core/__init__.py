"""State machines of a core process, with a disk and without one.

This package assembles a core from the components of its sibling packages: the state that they
share, the component that handles each input, the steps of a tick and their order, and the queries
for operators.

It may import every other package of `coordination`, and `model`. It uses no event loop, file or
socket. The sibling packages import only `context` (shared state) and `messages` (messages between
cores) from here.

Reading order: `messages`, `context`, `components`, `dispatch`, `tick`, `machine`; then `status` and
`queries` for operators, and `standby_machine` for a core without a disk.
"""
