"""Adapter of the platform: translates its names, formats and calls, and makes no decisions."""

from martenrun.platform import endpoints, headers, objects, orders, router_specs, settings, specs
from martenrun.router.platform_adapter import PlatformAdapter, SettingsSource

SETTINGS_VARIABLE = settings.SETTINGS_VARIABLE
SETTINGS_SOURCE = SettingsSource(settings.load_settings, settings.settings_mtime_ns)
"""Source of a router's settings, read at its start and whenever they change."""

PLATFORM_ADAPTER = PlatformAdapter(
    read_call=headers.read_call,
    runner_headers=headers.runner_headers,
    request_id_field=headers.REQUEST_ID,
    read_response_metadata=headers.read_response_metadata,
    without_status_fields=headers.without_status_fields,
    responding_instance=headers.responding_instance,
    read_era=objects.read_era,
    list_objects=objects.list_objects,
    watch_objects=objects.watch_objects,
    read_object=objects.read_object,
    create_object=objects.create_object,
    replace_object=objects.replace_object,
    read_page=objects.read_page,
    read_changes=objects.read_changes,
    read_stored=objects.read_stored,
    read_version=specs.read_version,
    read_configuration=specs.read_configuration,
    read_runner=specs.read_runner,
    read_weights=specs.read_weights,
    read_lease=router_specs.read_lease,
    lease_spec=router_specs.lease_spec,
    read_crash_records=router_specs.read_crash_records,
    crash_records_spec=router_specs.crash_records_spec,
    read_peer_addresses=router_specs.read_peer_addresses,
    peer_addresses_spec=router_specs.peer_addresses_spec,
    read_software_versions=router_specs.read_software_versions,
    software_versions_spec=router_specs.software_versions_spec,
    order_weights=orders.order_weights,
    read_order_outcome=orders.read_order_outcome,
    report_request=orders.report_request,
    read_report=specs.read_report,
    directory_zone=endpoints.directory_zone,
    directory_response=endpoints.directory_response,
    is_readiness_request=endpoints.is_readiness_request,
)
"""The functions through which the router uses the platform."""
