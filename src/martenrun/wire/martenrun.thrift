// Internal protocol of martenrun, version 3: thrift's compact protocol.  One struct per message.
// On the wire a struct stands behind 3 bytes: the protocol version and, as 16 bits in network
// order, the BLAKE2b hash (2 bytes) of the struct's name.
// The classes in martenrun/wire/messages/ carry the same fields; a test compares them.
// Times are seconds unless a name says otherwise.  Chains are 8 bytes a block.

struct Hello {
  1: i16 protocol_version
  2: string peer
  3: binary nonce
}

struct DecideRequest {
  1: string request_id
  2: string tenant
  3: string model
  4: string weights_version
  5: binary chain
  6: i32 prompt_bytes
  7: i32 maximum_output_tokens
  8: i32 priority
  9: double deadline_s
  10: string idempotency_key
  11: string zone
  12: list<string> excluded_runners
  13: i32 attempt
}

struct Grant {
  1: string request_id
  2: i32 attempt
  3: string runner
  4: string address
  5: string incarnation
  6: string weights_version
  7: i32 believed_blocks
  8: i32 priority
  9: i32 import_blocks
  10: i32 import_least_blocks
  11: i32 import_wait_ms
}

struct Queued {
  1: string request_id
  2: i32 attempt
  3: double expected_wait_s
}

struct Refusal {
  1: string request_id
  2: i32 attempt
  3: string code
  4: string message
  5: string remedy
  6: string ran
  7: double retry_after_s
}

struct AttemptReport {
  1: string request_id
  2: i32 attempt
  3: string runner
  4: string outcome
  5: i32 prompt_tokens
  6: i32 cached_tokens
  7: i32 output_tokens
  8: double first_token_s
  9: i32 import_held_blocks
  10: i32 imported_blocks
  11: i32 import_ms
}

struct WithdrawRequest {
  1: string request_id
  2: i32 attempt
}

struct ConfigurationQuery {
  1: i64 known_revision
  2: i64 page_after
  3: i64 nodes_digest
}

struct ConfigurationObject {
  1: string kind
  2: string name
  3: i64 revision
  4: bool deleted
  5: binary document
}

struct ConfigurationUpdate {
  1: i64 from_revision
  2: i64 to_revision
  3: list<ConfigurationObject> objects
  4: list<string> nodes
  5: bool complete
  6: bool continues
  7: i64 page_after
}

struct ClaimReport {
  1: string request_id
  2: string tenant
  3: string idempotency_key
  4: string state
}

struct UsageDigest {
  1: i64 incarnation
  2: i32 sequence
  3: string zone
  4: binary records
}

struct UsageTotals {
  1: i64 incarnation
  2: i32 sequence
  3: double added_usage
  4: binary records
}

struct ReserveSlot {
  1: i64 reservation_id
  2: string runner
  3: string tenant
  4: i32 priority
  5: i32 cost_tokens
  6: i32 deadline_ms
  7: bool may_queue
  8: string weights_version
  9: binary chain
  10: i32 pool_id
  11: i32 known_incarnation
}

struct SlotGranted {
  1: i64 reservation_id
  2: string incarnation
  3: string weights_version
  4: i32 cached_blocks
  5: i32 free_slots
  6: i32 placed_blocks
}

struct ExportPrefix {
  1: string runner
  2: string incarnation
  3: string weights_version
  4: binary chain
  5: i32 new_blocks
  6: double uses
}

struct PrefixExported {
  1: string runner
  2: string weights_version
  3: binary chain
}

struct PrefixesQuery {
}

struct PrefixesServed {
  1: string runner
  2: binary first_blocks
  3: list<i32> ages_ms
}

struct SlotsQueued {
  1: list<i64> reservation_ids
  2: list<i32> expected_waits_ms
  3: list<i32> free_slots
}

struct RunnerLoad {
  1: string runner
  2: i32 free_slots
}

struct SlotRefused {
  1: i64 reservation_id
  2: string reason
  3: string owner
  4: i32 expected_wait_ms
  5: list<RunnerLoad> loads
  6: i32 free_slots
}

struct ReleaseSlots {
  1: list<i64> reservation_ids
}

struct LeaseRenewal {
  1: i64 reservation_id
  2: string runner
  3: string incarnation
}

struct RenewLeases {
  1: list<LeaseRenewal> leases
}

struct LeasesVoided {
  1: list<i64> reservation_ids
}

struct MachinesQuery {
  1: i64 known_digest
  2: bool takes_packed
}

struct MachineEntry {
  1: string name
  2: string role
  3: string address
  4: string zone
  5: string pool
  6: string state
}

struct MachinesUpdate {
  1: i64 digest
  2: bool complete
  3: list<MachineEntry> machines
  4: binary packed
}

struct MemberClaim {
  1: string address
  2: string zone
  3: string region
  4: i64 incarnation
  5: byte status
}

struct Probe {
  1: i32 sequence
  2: string relay_for
  3: list<MemberClaim> claims
}

struct ProbeAnswer {
  1: i32 sequence
  2: i64 digest
  3: list<MemberClaim> claims
}

struct ProbeRequest {
  1: i32 sequence
  2: string target
  3: list<MemberClaim> claims
}

struct MemberGossip {
  1: list<MemberClaim> claims
}

struct MemberList {
  1: bool wants_answer
  2: list<MemberClaim> members
}

struct MemberDigests {
  1: binary buckets
}

struct MemberStates {
  1: binary buckets
  2: binary states
}

struct MemberUpdate {
  1: binary states
  2: list<MemberClaim> members
  3: binary wanted
}

struct StatusQuery {
  1: string query_id
}

struct AgentRevision {
  1: string agent
  2: i64 revision
}

struct NodeStatus {
  1: string query_id
  2: i64 revision
  3: string watcher_lease
  4: list<string> faults
  5: list<AgentRevision> agents
}

struct PoolDemand {
  1: i32 pool_id
  2: i32 runners
  3: i32 slots
  4: i32 used_slots
  5: i32 waiting_tokens
  6: i32 wait_ms
  7: string spare_runner
  8: i32 spare_blocks
}

struct DemandReport {
  1: string zone
  2: list<PoolDemand> pools
}
