/// One request on its way through the gateway's filters.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "birchlever/coordination/serving_configuration.h"
#include "birchlever/gateway/request_dialect.h"
#include "birchlever/http/server_connection.h"

namespace birchlever {

/// What was relayed of a stream.
struct relayed_stream {
  std::string output_;  ///< The data of each event, each followed by a line feed.
  std::int64_t events_ = 0;
  std::optional<std::int64_t> last_event_;  ///< The last one that the caller has, from earlier tries too.
  bool whole_ = false;                      ///< The upstream's answer came to its end.
  bool reached_upstream_ = false;           ///< Sent to an upstream, which may have run it.
  bool upstream_broke_off_ = false;
  std::string upstream_;
};

/// The state of a request. Lives as long as its coroutine.
struct gateway_request {
  std::shared_ptr<server_connection> connection_;
  std::shared_ptr<const serving_configuration> configuration_;
  http_request message_;
  request_metadata facts_;
  const route* route_ = nullptr;             ///< Within configuration_.
  const client_account* account_ = nullptr;  ///< Likewise; none on public routes and where there are none.
  std::string service_;
  std::string last_upstream_;                   ///< Where the previous turn ran.
  std::string reservation_;                     ///< What the turn's budget is reserved under.
  std::optional<std::int64_t> granted_tokens_;  ///< The caller must not get more; less than a turn may
                                                ///< generate while the store is away.
  milliseconds received_at_ = 0;
  milliseconds due_ = 0;  ///< When the caller must have its final answer.
  bool keep_alive_ = true;
  bool answered_ = false;  ///< Something of an answer has gone out.
  int final_status_ = 0;   ///< What the caller got; 0 while nothing.
  relayed_stream relayed_;

  /// Called with a whole stream before its end goes out. False: the end must not go out.
  std::function<task<bool>(gateway_request&)> before_end_;

  /// The name of the caller's account; empty without one.
  [[nodiscard]] auto account_name() const -> std::string {
    return account_ == nullptr ? std::string{} : account_->name_;
  }
};

}  // namespace birchlever
