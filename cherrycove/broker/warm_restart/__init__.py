"""What a broker has learned, kept for its next life.

It owns the form in which that is kept, how it ages while nobody runs, the file that holds it, and when that
is read and written. It must never decide where a request goes (the module does, with what it is told), permit
what a rule forbids, touch a disk from the event loop, or keep a broker from serving: without a memory it
starts as one that knows nothing.
"""
