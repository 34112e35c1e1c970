"""Checking that the weights and adapters a pool names exist before it is published."""

from absl import logging

from martenrun.backends.weight_store import WeightStore
from martenrun.configuration.objects import Document, Pool
from martenrun.errors import InvalidObjectError, StoreUnavailableError


def check_weights(store: WeightStore, document: Document) -> None:
    """Check a pool's weights version and adapters; raises InvalidObjectError.

    A weight store that does not answer holds nothing up: engines refuse weights that do not
    exist and go on serving.
    """
    if not isinstance(document, Pool):
        return
    try:
        names = [document.weights_version, *document.adapters]
        missing = [name for name in names if not store.has(document.model, name)]
    except StoreUnavailableError as error:
        logging.warning("the weights of a pool were not checked: %s", error)
        return
    if missing:
        raise InvalidObjectError(
            f"the weight store has no {', '.join(missing)} for model {document.model!r}",
            remedy="Publish them in the weight store first, or correct the pool.",
        )
