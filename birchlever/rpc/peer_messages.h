/// Between the system's own types and the Thrift messages on the wire.
#pragma once

#include "birchlever/controllers/owner_messages.h"
#include "birchlever/rpc/generated/peer_types.h"

namespace birchlever {

[[nodiscard]] auto to_message(const error& failure) -> rpc::failure_message;
[[nodiscard]] auto from_message(const rpc::failure_message& message) -> error;

[[nodiscard]] auto to_message(const open_request& request) -> rpc::open_message;
[[nodiscard]] auto from_message(const rpc::open_message& message) -> open_request;

[[nodiscard]] auto to_message(const open_reply& reply) -> rpc::open_reply;
[[nodiscard]] auto from_message(const rpc::open_reply& message) -> open_reply;

[[nodiscard]] auto to_message(const settle_request& request) -> rpc::settle_message;
[[nodiscard]] auto from_message(const rpc::settle_message& message) -> settle_request;

[[nodiscard]] auto to_message(const settle_reply& reply) -> rpc::settle_reply;
[[nodiscard]] auto from_message(const rpc::settle_reply& message) -> settle_reply;

[[nodiscard]] auto to_message(const accepted_report& report) -> rpc::accepted_message;
[[nodiscard]] auto from_message(const rpc::accepted_message& message) -> accepted_report;

}  // namespace birchlever
