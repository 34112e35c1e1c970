"""Who may read and change which configuration objects.

* A platform admin reads and changes everything.
* A reader reads everything.
* A tenant admin reads its own tenant and the keys of its tenant, and changes those keys;
  it cannot hand out roles that reach beyond its tenant.
"""

from dataclasses import dataclass

from martenrun.configuration.objects import ApiKey, Document, Kind, Role
from martenrun.errors import PermissionDeniedError

_ROLES_OF_TENANT = (Role.CALLER, Role.TENANT_ADMIN)


@dataclass(frozen=True, slots=True)
class Operator:
    """Who calls the administration API; ``tenant`` is empty for the bootstrap key."""

    role: Role
    tenant: str = ""

    @property
    def reads_all(self) -> bool:
        """Whether the operator may read every object."""
        return self.role in (Role.PLATFORM_ADMIN, Role.READER)

    def may_read(self, kind: Kind, name: str, document: Document) -> bool:
        """Whether the operator may read an object."""
        if self.reads_all:
            return True
        if isinstance(document, ApiKey):
            return document.tenant == self.tenant
        return kind is Kind.TENANT and name == self.tenant

    def check_change(self, kind: Kind) -> None:
        """Raise PermissionDeniedError unless the operator may change some objects of a kind."""
        if self.role is Role.PLATFORM_ADMIN:
            return
        if self.role is not Role.TENANT_ADMIN or kind is not Kind.API_KEY:
            raise PermissionDeniedError(f"role {self.role.value} may not change {kind.value}")

    def check_document(self, document: Document) -> None:
        """Raise PermissionDeniedError unless the operator may publish or replace a document."""
        if self.role is Role.PLATFORM_ADMIN:
            return
        if not isinstance(document, ApiKey) or document.tenant != self.tenant:
            raise PermissionDeniedError(f"the object does not belong to tenant {self.tenant!r}")
        if document.role not in _ROLES_OF_TENANT:
            raise PermissionDeniedError(f"a tenant admin may not hand out role {document.role}")
