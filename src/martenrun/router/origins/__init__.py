"""Which service and software version began each resumable stream, shared by all routers.

Each stream's origin is kept by the router that sends it to a runner and by three others, chosen by
rendezvous hashing.  It is only sent to them while runners of several software versions serve, and
looked up only when a caller resumes the stream.
"""
