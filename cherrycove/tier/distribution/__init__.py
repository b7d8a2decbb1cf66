"""How configuration, brokers, members and the store group reach all processes of the tier.

The primary controller publishes each as a topic (``publisher``, ``topics``). Every process pulls by long poll
(``puller``) from the controller that ``controller_selector`` picks, and sends the versions that it has; the
answer holds what is newer. ``cluster_view_updater`` applies it to the ``cluster_view`` that the rest of the
process reads. A pull also announces the process to the controllers.
"""
