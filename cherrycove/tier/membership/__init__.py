"""Group membership of the tier: every process keeps a list of the processes that run.

The failure detector and the dissemination of its findings follow SWIM (Das, Gupta and Motivala, "SWIM:
Scalable Weakly-consistent Infection-style Process Group Membership Protocol", 2002) with ideas of Lifeguard
(Dadgar, Phillips and Currey, "Lifeguard: Local Health Awareness for More Accurate Failure Detection", 2018).
``docs/design/membership.md`` has the state table and where the code departs from the papers.

``SwimMachine`` implements the protocol as a state machine without I/O, and ``MembershipService`` runs it over
UDP and the internal calls. Membership is weakly consistent, so it must never decide which replica is the
primary of a group.
"""
