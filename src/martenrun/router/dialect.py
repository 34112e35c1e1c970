"""What the router asks of the adapter of the platform it runs on.

The adapter translates between these types and the platform's names, formats and calls; it
decides nothing.
"""

from collections.abc import Callable, Sequence

import attrs

from martenrun.net.http import Headers, HttpRequest
from martenrun.router.crash_messages import CrashRecord
from martenrun.router.messages import (
    AnswerMarks,
    Call,
    Configuration,
    Dataset,
    Dispatch,
    HttpCall,
    LeaseRecord,
    OrderOutcome,
    Runner,
    RunnerReport,
    StoreChanges,
    StoredObject,
    StorePage,
    WantedWeights,
    WeightsOrder,
)
from martenrun.router.settings import RouterSettings


@attrs.frozen
class SettingsSource:
    """Where settings come from.

    Attributes:
        load: reads them; raises SettingsError that names every fault.
        stamp: returns a number that changes whenever they may have changed.
    """

    load: Callable[[], RouterSettings]
    stamp: Callable[[], int]


@attrs.frozen
class Dialect:
    """The platform's manner of speaking, as functions.

    Functions that read raise ValueError for what they cannot understand, and UnreadableError, which
    is one, for the store's answers, the contents of objects and reports of runners.  A page, or an
    answer of a watch, leaves out what cannot be read and keeps the rest.

    Attributes:
        read_call: a caller's request.
        runner_headers: fields of the request as it is sent to a runner.
        request_id_field: the field that carries a request's id, in lower case.
        read_marks: a runner's answer; takes its status and fields.
        answering_instance: the runner's instance that an answer names.
        list_objects: a page of a dataset after a name.
        watch_objects: changes of a dataset after a revision, waiting so many seconds.
        read_object: one object of a dataset by name.
        create_object, replace_object: writes; the second only at the object's revision.
        read_page, read_changes, read_stored: bodies of the store's answers.
        read_configuration, read_runner, read_weights, read_lease: contents of objects.
        lease_spec: content of a lease object.
        read_blame, blame_spec: what routers keep of requests that end runners.
        read_contacts, contacts_spec: addresses of some living routers.
        order_weights, read_order_outcome: an order and the status it is answered with.
        ask_report, read_report: a runner's report.
        directory_zone: the asker's zone if a request asks for addresses, else None.
        directory_answer: body of that answer, from addresses and seconds to live.
        is_ready_question: whether a request asks if the router is ready.
    """

    read_call: Callable[[HttpRequest], Call]
    runner_headers: Callable[[Headers, Dispatch], Headers]
    request_id_field: bytes
    read_marks: Callable[[int, Headers], AnswerMarks]
    answering_instance: Callable[[Headers], str | None]
    list_objects: Callable[[Dataset, str | None], HttpCall]
    watch_objects: Callable[[Dataset, int, float], HttpCall]
    read_object: Callable[[Dataset, str], HttpCall]
    create_object: Callable[[Dataset, str, object], HttpCall]
    replace_object: Callable[[Dataset, StoredObject, object], HttpCall]
    read_page: Callable[[bytes], StorePage]
    read_changes: Callable[[bytes], StoreChanges]
    read_stored: Callable[[bytes], StoredObject]
    read_configuration: Callable[[StoredObject], Configuration]
    read_runner: Callable[[StoredObject], Runner]
    read_weights: Callable[[StoredObject], WantedWeights]
    read_lease: Callable[[StoredObject], LeaseRecord]
    read_blame: Callable[[StoredObject], list[CrashRecord]]
    blame_spec: Callable[[list[CrashRecord]], object]
    read_contacts: Callable[[StoredObject], list[str]]
    contacts_spec: Callable[[Sequence[str]], object]
    lease_spec: Callable[[LeaseRecord], object]
    order_weights: Callable[[WeightsOrder], HttpCall]
    read_order_outcome: Callable[[int], OrderOutcome]
    ask_report: Callable[[], HttpCall]
    read_report: Callable[[bytes], RunnerReport]
    directory_zone: Callable[[HttpRequest], str | None]
    directory_answer: Callable[[Sequence[str], float], bytes]
    is_ready_question: Callable[[HttpRequest], bool]
