"""Adapter to the users' platform: names, formats and calls of its protocol.

The platform's terms, and the product's terms for the same things:

- lot: batch job; request of a lot: item
- check-in (``Instances.Heartbeat``): announcement of a backend server
- deregistration: withdrawal of a backend server
- instance: backend server, except in the ``Retire`` calls, where it is a
  control instance
- zone: failure domain
- order: order to a model engine to change its weights; fence: fencing number
- ``max_queue_s`` of a route: ``give_up_s``
"""
