"""Distributes configuration, brokers, members and the store group to all processes of the tier.

The primary controller publishes each of them as a topic (``publisher``, ``topics``). Every process pulls by
long polling (``puller``) from the controller that ``controller_selector`` selects, and sends the versions
that it has; the reply contains the newer ones. ``cluster_view_updater`` applies them to the ``cluster_view``
that the rest of the process reads. A pull also announces the process to the controllers.
"""
