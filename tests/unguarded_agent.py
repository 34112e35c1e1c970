"""An agent without the rule that a request that may have run is repeated only if it may be."""

from martenrun.agent.requests import RequestsLogic
from martenrun.cli.main import main

RequestsLogic._may_run_again = staticmethod(lambda request: True)

if __name__ == "__main__":
    main()
