"""The life of a process: its first word to the one in service, the time beside it, its leaving.

It owns what two processes of one broker may use together, what passes between them, and the timetable of an
end. It must never know a header or a frame, decide where or when a request is sent, or let the two together
use more than one may.
"""
