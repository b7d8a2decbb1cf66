"""Membership of the tier: which processes run, known to each of them.

The failure detector and the dissemination of its findings follow SWIM (Das, Gupta and Motivala, "SWIM:
Scalable Weakly-consistent Infection-style Process Group Membership Protocol", 2002) with ideas of Lifeguard
(Dadgar, Phillips and Currey, "Lifeguard: Local Health Awareness for More Accurate Failure Detection", 2018).
``docs/design/membership.md`` has the state table and where the code departs from the papers.

``SwimMachine`` is the protocol without input or output, ``MembershipService`` runs it over UDP and the
internal calls. Membership is weakly consistent: it must never decide who is the primary of a group.
"""
