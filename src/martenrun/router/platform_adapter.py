"""Interface of the adapter for the platform that a router runs on.

The adapter translates between the router's types and the platform's names, formats and calls; it
contains no routing logic.
"""

from collections.abc import Callable, Mapping, Sequence

import attrs

from martenrun.net.http import Headers, HttpRequest
from martenrun.router.crashes.messages import CrashRecord
from martenrun.router.messages import (
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
    TargetWeights,
    WeightsOrder,
)
from martenrun.router.response_metadata import ResponseMetadata
from martenrun.router.settings import RouterSettings


@attrs.frozen
class SettingsSource:
    """Source of a router's settings.

    Attributes:
        load: reads the settings; raises SettingsError that names every error.
        stamp: returns a number that changes whenever the settings may have changed.
    """

    load: Callable[[], RouterSettings]
    stamp: Callable[[], int]


@attrs.frozen
class PlatformAdapter:
    """The platform's formats and protocols, as functions.

    Functions that decode raise ValueError for invalid input, and its subclass UnreadableError for
    responses of the store, contents of objects and reports of runners.  For pages and watch
    responses, undecodable entries are omitted and the rest is returned.

    Attributes:
        read_call: parses a caller's request.
        runner_headers: returns the headers of the request as sent to a runner.
        request_id_field: name of the header that carries a request's id, in lower case.
        read_response_metadata: parses the status and headers of a runner's response.
        without_status_fields: returns a response's headers without those that hold only with its
            own status, such as its signature.
        responding_instance: returns the runner instance that a response's headers name.
        read_era: returns the era of the store that a response's headers name, or None.
        list_objects: builds the request for a page of a dataset after a name.
        watch_objects: builds the request for changes of a dataset after a revision, with the
            seconds to wait for them.
        read_object: builds the request for one object of a dataset by name.
        create_object, replace_object: build write requests; a replacement is conditional on the
            object's revision.
        read_page, read_changes, read_stored: decode bodies of the store's responses, each with the
            era of the store in which it was read.
        read_version: returns the version that a stored configuration or name of weights has, or
            None if it cannot be decoded.
        read_configuration, read_runner, read_weights, read_lease: decode contents of objects.
        lease_spec: encodes the content of a lease object.
        read_crash_records, crash_records_spec: decode and encode crash records of requests.
        read_peer_addresses, peer_addresses_spec: decode and encode addresses of live routers.
        read_software_versions, software_versions_spec: decode and encode the software versions of
            each service.
        order_weights, read_order_outcome: build an order and decode the status of its response.
        report_request, read_report: build the request for a runner's report and decode it.
        directory_zone: returns the requester's zone for a directory request, else None.
        directory_response: encodes the directory's response from addresses and a TTL in seconds.
        is_readiness_request: returns whether a request asks if the router is ready.
    """

    read_call: Callable[[HttpRequest], Call]
    runner_headers: Callable[[Headers, Dispatch], Headers]
    request_id_field: bytes
    read_response_metadata: Callable[[int, Headers], ResponseMetadata]
    without_status_fields: Callable[[Headers], Headers]
    responding_instance: Callable[[Headers], str | None]
    read_era: Callable[[Headers], int | None]
    list_objects: Callable[[Dataset, str | None], HttpCall]
    watch_objects: Callable[[Dataset, int, float], HttpCall]
    read_object: Callable[[Dataset, str], HttpCall]
    create_object: Callable[[Dataset, str, object], HttpCall]
    replace_object: Callable[[Dataset, StoredObject, object], HttpCall]
    read_page: Callable[[bytes, int], StorePage]
    read_changes: Callable[[bytes, int], StoreChanges]
    read_stored: Callable[[bytes, int], StoredObject]
    read_version: Callable[[StoredObject], int | None]
    read_configuration: Callable[[StoredObject], Configuration]
    read_runner: Callable[[StoredObject], Runner]
    read_weights: Callable[[StoredObject], TargetWeights]
    read_lease: Callable[[StoredObject], LeaseRecord]
    read_crash_records: Callable[[StoredObject], list[CrashRecord]]
    crash_records_spec: Callable[[list[CrashRecord]], object]
    read_peer_addresses: Callable[[StoredObject], list[str]]
    peer_addresses_spec: Callable[[Sequence[str]], object]
    read_software_versions: Callable[[StoredObject], dict[str, tuple[str, ...]]]
    software_versions_spec: Callable[[Mapping[str, Sequence[str]]], object]
    lease_spec: Callable[[LeaseRecord], object]
    order_weights: Callable[[WeightsOrder], HttpCall]
    read_order_outcome: Callable[[int], OrderOutcome]
    report_request: Callable[[], HttpCall]
    read_report: Callable[[bytes], RunnerReport]
    directory_zone: Callable[[HttpRequest], str | None]
    directory_response: Callable[[Sequence[str], float], bytes]
    is_readiness_request: Callable[[HttpRequest], bool]
