// Messages between daemons. Regenerate with tools/generate; the generated code is committed.
namespace cpp birchlever.rpc

struct envelope {
  1: string fleet_key,
  2: string sender,
  3: i64 generation,
  4: string traceparent,
}

struct failure_message {
  1: i32 code,
  2: string detail,
  3: i64 retry_after_ms,
  4: i32 ran,
}

struct open_message {
  1: string account,
  2: string program,
  3: i32 number,
  4: i32 parent,
  5: i64 budget,
  6: bool repeatable,
  7: i64 max_tokens,
  8: i64 prompt_tokens,
  9: i64 deadline_ms,
  10: string model,
  11: i64 digest,
  12: string service_name,
  13: list<i64> prefix_hashes,
  15: string data_hall,
  16: list<string> avoid,
  17: string request_id,
  18: bool generates,
  19: bool ephemeral,
  20: double account_share,
  21: string traceparent,
}

struct ticket_message {
  1: string upstream,
  2: string host,
  3: i32 port,
  4: i64 epoch,
  5: i64 sequence,
  6: i32 priority,
  7: i64 send_within_ms,
  8: string key,
  9: string policy,
  10: i64 max_tokens,
  11: i64 waited_ms,
}

struct open_reply {
  1: optional ticket_message ticket,
  2: optional string replay,
  3: optional failure_message failure,
  4: i64 generation,
}

struct settle_message {
  1: string account,
  2: string program,
  3: i32 number,
  4: i64 epoch,
  5: i64 sequence,
  6: i32 outcome,
  7: i64 tokens,
  8: string answer,
  9: string upstream,
  10: i64 max_tokens,
  11: i64 cached_tokens,
  12: i64 digest,
  13: bool repeatable,
  14: i64 prompt_tokens,
  15: list<i64> prefix_hashes,
  16: bool last,
  17: string request_id,
  18: bool ephemeral,
}

struct settle_reply {
  1: optional failure_message failure,
  2: optional string replay,
  3: i64 generation,
}

struct accepted_message {
  1: string account,
  2: string program,
  3: i32 number,
  4: i64 sequence,
  5: i64 epoch,
  6: i64 digest,
  7: i64 max_tokens,
  8: bool repeatable,
  9: string upstream,
}

struct program_message {
  1: string account,
  2: string program,
  3: i64 budget,
}

struct text_reply {
  1: optional string text,
  2: optional failure_message failure,
  3: i64 generation,
}

service peer {
  open_reply open_call(1: envelope sender, 2: open_message request),
  void call_accepted(1: envelope sender, 2: accepted_message report),
  settle_reply settle_call(1: envelope sender, 2: settle_message report),
  text_reply open_program(1: envelope sender, 2: program_message request),
  text_reply end_program(1: envelope sender, 2: program_message request),
  text_reply read_history(1: envelope sender, 2: program_message request),
  text_reply query(1: envelope sender, 2: string statement),
  text_reply hear_generation(1: envelope sender),
  void share_views(1: envelope sender, 2: string views),
}
