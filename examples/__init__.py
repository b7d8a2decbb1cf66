"""Small programs to try the project with, and the stand-ins that they and the tests share."""
