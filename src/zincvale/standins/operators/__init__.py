"""The operators: scripted changes of the intent, sent to the cores over HTTP.

Order to read: `script` (the script file and its orders) and `retry` (whether an order is sent
again); `core_client` (HTTP); `runner` (sends the orders and journals the responses).

May import the modules at the top of `zincvale.standins`, no other sub-package.
"""
