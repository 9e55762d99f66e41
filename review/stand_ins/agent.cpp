#include "agent.h"

#include <algorithm>

namespace review {
namespace {

constexpr auto gap_limit_ms = std::int64_t{2000};   // Clients give up a stream after a gap of 2 s.
constexpr auto open_limit_ms = std::int64_t{1000};  // A new channel gets a second to come up.
constexpr auto time_limit_ms = 5000;                // deadline_ms of the site's turns.

/// The most tokens that a turn may generate: the second number of X-Token-Usage.
auto most_tokens(const message& request) -> int {
  auto usage = request.header("X-Token-Usage");
  return std::atoi(usage.c_str() + std::min(usage.find(',') + 1, usage.size()));
}

auto count_events(const std::string& text) -> std::int64_t {
  auto count = std::int64_t{0};
  for (auto at = text.find("\n\n"); at != std::string::npos; at = text.find("\n\n", at + 2)) {
    ++count;
  }
  return count;
}

}  // namespace

engine::engine(store& platform, const std::string& id, int slots, std::int64_t event_gap_ms, record& out)
    : record_{&out},
      event_gap_ms_{event_gap_ms},
      server_{platform, id, "asistente", slots,
              [this](const message& request, connection& caller) { return handle(request, caller); }} {}

auto engine::has_run(const std::string& request_id) -> bool {
  auto guard = std::lock_guard{lock_};
  return ran_.count(request_id) != 0;
}

auto engine::handle(const message& request, connection& caller) -> bool {
  auto id = request.header("X-Request-Id");
  {
    auto guard = std::lock_guard{lock_};
    ++ran_[id];
  }
  record_->write(server_.id() + " runs turn " + id + ", body of " + std::to_string(request.body_.size()) +
                 " bytes");
  auto head = std::string{"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"};
  auto headers = server_.answer_headers(request);
  headers["X-Response-Signature"] = "mac-" + id;
  headers["Transfer-Encoding"] = "chunked";
  for (const auto& [name, content] : headers) {
    head += name + ": " + content + "\r\n";
  }
  if (!caller.write(head + "\r\n")) {
    return false;
  }
  auto events = std::max(most_tokens(request) / tokens_per_event, 1);
  for (auto number = 1; number <= events; ++number) {
    sleep_ms(event_gap_ms_);
    auto event = "id: " + std::to_string(number) + "\ndata: " + id + "." + std::to_string(number) + "\n\n";
    if (!caller.write(chunk_bytes(event))) {
      return false;
    }
  }
  return caller.write("0\r\n\r\n");
}

auto engine_service(const std::string& name) -> nlohmann::json {
  return {{"name", name},
          {"health_path", "/healthz"},
          {"max_conns", 370},
          {"engine", {{"slots", 64}, {"kv_capacity", 211374}, {"chunk_tokens", tokens_per_event}}}};
}

auto send_turn(const std::string& front, const turn& sent, record& out,
               const std::function<void(std::int64_t)>& received) -> turn_result {
  auto result = turn_result{};
  auto channel = connection::open(front, open_limit_ms);
  if (!channel) {
    out.write("client finds no way in for turn " + sent.id_);
    return result;
  }
  auto text = "POST /turn/x HTTP/1.1\r\nHost: review.example\r\nX-Request-Id: " + sent.id_ +
              "\r\nX-Program-Id: " + sent.program_ + "\r\nX-Session-Id: " + sent.session_ +
              "\r\nX-Program-Deadline-Ms: 60000\r\nX-Model: m\r\nX-Token-Usage: 100," +
              std::to_string(sent.max_tokens_) + "\r\nX-Deadline-Ms: " + std::to_string(time_limit_ms) +
              "\r\n" + (sent.budget_ > 0 ? "X-Token-Budget: " + std::to_string(sent.budget_) + "\r\n" : "") +
              (sent.previous_.empty() ? "" : "X-Previous-Turn: " + sent.previous_ + "\r\n") +
              "Content-Length: " + std::to_string(sent.input_.size()) + "\r\n\r\n" + sent.input_;
  out.write("client sends turn " + sent.id_ + " of program " + sent.program_ +
            (sent.previous_.empty() ? "" : ", going on from " + sent.previous_) + ", to " + front);
  auto head = channel->write(text) ? channel->read_head(gap_limit_ms) : std::nullopt;
  if (!head) {
    out.write("client got no answer to turn " + sent.id_);
    return result;
  }
  result.status_ = head->status();
  result.retry_ms_ = static_cast<std::int64_t>(std::atof(head->header("Retry-After").c_str()) * 1000);
  auto piece = [&](const std::string& bytes) {
    result.tokens_ += result.status_ == 200 ? count_events(bytes) * tokens_per_event : 0;
    if (received) {
      received(result.tokens_);
    }
  };
  result.whole_ = channel->read_body(*head, time_limit_ms, piece);
  out.write("client got " + std::to_string(result.status_) + (result.whole_ ? "" : ", broken off,") +
            " and " + std::to_string(result.tokens_) + " tokens for turn " + sent.id_);
  return result;
}

}  // namespace review
