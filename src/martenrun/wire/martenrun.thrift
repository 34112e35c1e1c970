// Internal protocol of martenrun, version 1.  One struct per message.
// The classes in martenrun/wire/messages.py carry the same fields; a test compares them.
// Times are seconds unless a name says otherwise.  Chains are 8 bytes a block.

struct Envelope {
  1: i16 protocol_version
  2: string kind
  3: binary body
}

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
}

struct WithdrawRequest {
  1: string request_id
  2: i32 attempt
}

struct ConfigurationQuery {
  1: i64 known_revision
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
