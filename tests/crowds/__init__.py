"""Crowds of clients that do not behave, against the system's own processes on loopback addresses.

`crowds` says what each crowd sends, `crowd_process` sends it, `usage` measures the processes, and
`crowd_run` plays one crowd against a fleet. What is checked does not depend on the machine's speed:
that no process ends, that each stays within the memory and the descriptors of its settings, and
that an ordinary request is answered while the crowd's connections are still open.
"""
