"""Adapter of the platform: translates its names, formats and calls, and makes no decisions."""

from martenrun.platform import contents, entry, headers, objects, orders, settings
from martenrun.router.dialect import Dialect, SettingsSource

SETTINGS_VARIABLE = settings.SETTINGS_VARIABLE
SETTINGS_SOURCE = SettingsSource(settings.load_settings, settings.settings_stamp)
"""Source of a router's settings, read at its start and whenever they change."""

DIALECT = Dialect(
    read_call=headers.read_call,
    runner_headers=headers.runner_headers,
    request_id_field=headers.REQUEST_ID,
    read_marks=headers.read_marks,
    answering_instance=headers.answering_instance,
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
    read_blame=contents.read_blame,
    blame_spec=contents.blame_spec,
    read_contacts=contents.read_contacts,
    contacts_spec=contents.contacts_spec,
    order_weights=orders.order_weights,
    read_order_outcome=orders.read_order_outcome,
    ask_report=orders.ask_report,
    read_report=contents.read_report,
    directory_zone=entry.directory_zone,
    directory_answer=entry.directory_answer,
    is_ready_question=entry.is_ready_question,
)
"""The functions through which the router uses the platform."""
