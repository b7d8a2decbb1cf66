"""Example programs for trying the project, and the test doubles that they share with the tests."""
