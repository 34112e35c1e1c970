"""Names of the files beside a router's settings that say what its connections pass through."""

LINKS_SUFFIX = ".links"
"""Maps addresses to those of the relays in their place."""

DATAGRAMS_SUFFIX = ".datagrams"
"""Maps IPs to the delay of datagrams to them in seconds, null if they are lost."""
