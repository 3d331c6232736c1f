"""The state machines of a core process, with a disk and without one.

Owns the assembly of a core from the components of its sibling packages: what they share, which of
them takes which input, what each tick runs and in which order, and what operators may read.

May import every other package of `coordination`, and `model`. It knows no event loop, file or
socket. The siblings import only `context` (shared state) and `messages` (between cores) from here.

Reading order: `messages`, `context`, `components`, `dispatch`, `tick`, `machine`; then `status` and
`queries` for operators, and `standby_machine` for a core without a disk.
"""
