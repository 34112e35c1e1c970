"""What operators see of a sharing policy."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class PolicyStatus:
    """What an operator sees of a policy at one node.

    Attributes:
        pool: the pool whose weights the policy gives.
        name: the policy's name; empty if the pool has none.
        published: the expression last published.
        in_force: the expression evaluated now; differs from ``published`` if that does not
            compile.
        is_failing: whether the last evaluation of any tenant failed, or the published
            expression does not compile.
        last_error: the latest failure; kept after recovery until the next publish.
        failing_tenants: tenants that keep an older weight because their evaluation failed.
        evaluations, failures: counts since the process started.
    """

    pool: str = ""
    name: str = ""
    published: str = ""
    in_force: str = ""
    is_failing: bool = False
    last_error: str = ""
    failing_tenants: int = 0
    evaluations: int = 0
    failures: int = 0
