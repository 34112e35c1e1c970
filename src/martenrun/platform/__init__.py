"""Adapter of the users' platform: its names, formats and calls, and nothing that decides."""

from martenrun.platform import contents, entry, headers, objects, orders, settings
from martenrun.router.platform_adapter import PlatformAdapter, SettingsSource

SETTINGS_VARIABLE = settings.SETTINGS_VARIABLE
SETTINGS_SOURCE = SettingsSource(settings.load_settings, settings.settings_stamp)
"""Where a router reads its settings from, at its start and whenever they change."""

DIALECT = PlatformAdapter(
    read_call=headers.read_call,
    runner_headers=headers.runner_headers,
    request_id_field=headers.REQUEST_ID,
    read_response_metadata=headers.read_marks,
    responding_instance=headers.answering_instance,
    list_objects=objects.list_objects,
    watch_objects=objects.watch_objects,
    read_object=objects.read_object,
    create_object=objects.create_object,
    replace_object=objects.replace_object,
    read_page=objects.read_page,
    read_changes=objects.read_changes,
    read_stored=objects.read_stored,
    read_configuration=contents.read_configuration,
    read_runner=contents.read_runner,
    read_weights=contents.read_weights,
    read_lease=contents.read_lease,
    lease_spec=contents.lease_spec,
    read_crash_records=contents.read_blame,
    crash_records_spec=contents.blame_spec,
    read_peer_addresses=contents.read_contacts,
    peer_addresses_spec=contents.contacts_spec,
    order_weights=orders.order_weights,
    read_order_outcome=orders.read_order_outcome,
    report_request=orders.ask_report,
    read_report=contents.read_report,
    directory_zone=entry.directory_zone,
    directory_response=entry.directory_answer,
    is_readiness_request=entry.is_ready_question,
)
"""The platform's manner of speaking, handed to the router."""
