"""Lookup of routes, tenants and services in one version of the configuration."""

from martenrun.router.messages import Call, Configuration, Route, Tenant


class RouteTable:
    """Index over one version of the configuration."""

    def __init__(self, configuration: Configuration) -> None:
        self.configuration = configuration
        self._by_host: dict[str, list[Route]] = {}
        for route in configuration.routes:
            self._by_host.setdefault(route.host, []).append(route)
        self._first_priority: dict[str, int] = {}
        for route in configuration.routes:
            for part in route.split:
                known = self._first_priority.get(part.service, route.priority)
                self._first_priority[part.service] = min(known, route.priority)
        for routes in self._by_host.values():
            routes.sort(key=lambda route: len(route.path_prefix), reverse=True)

    def route(self, call: Call) -> Route | None:
        """Return the route with the longest matching path prefix, or None."""
        for route in self._by_host.get(call.host, ()):
            if call.path.startswith(route.path_prefix):
                return route
        return None

    def is_most_urgent(self, route: Route, service: str) -> bool:
        """Return whether no route to a service has a higher priority than this one."""
        return route.priority <= self._first_priority.get(service, route.priority)

    def tenant(self, call: Call) -> Tenant | None:
        """Return the tenant that owns the call's API key, or None."""
        return None if call.key is None else self.configuration.tenants_by_key.get(call.key)

    def needs_key(self, route: Route) -> bool:
        """Return whether calls of a route require a known API key."""
        return self.configuration.has_tenants and not route.is_open


class TrafficSplitter:
    """Distributes a route's requests over its services by weight, evenly in any interval."""

    def __init__(self) -> None:
        self._credits: dict[tuple[str, str], float] = {}

    def next_service(self, route: Route) -> str:
        """Return the service for the route's next request (smooth weighted round robin)."""
        if len(route.split) == 1:
            return route.split[0].service
        total = sum(part.weight for part in route.split)
        for part in route.split:
            key = (route.name, part.service)
            self._credits[key] = self._credits.get(key, 0.0) + part.weight
        chosen = max(route.split, key=lambda part: self._credits[(route.name, part.service)])
        self._credits[(route.name, chosen.service)] -= total
        return chosen.service
