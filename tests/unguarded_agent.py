"""An agent without the rule that a request that may have run is repeated only if it may be."""

from martenrun.agent.active import ActiveRequest
from martenrun.cli.main import main

ActiveRequest.may_run_again = lambda self: True

if __name__ == "__main__":
    main()
