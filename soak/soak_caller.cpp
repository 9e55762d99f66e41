#include "soak/soak_caller.h"

#include "birchlever/http/event_stream.h"
#include "birchlever/http/outgoing_connection.h"
#include "platform/names.h"
#include "soak/soak_accounts.h"

namespace birchlever::soak {
namespace {

namespace names = platform::names;

constexpr auto time_limit_ms = milliseconds{3000};  // As short as the users' callers wait.
constexpr auto turn_patience_ms = milliseconds{9000};
constexpr auto final_patience_ms = milliseconds{12000};
constexpr auto most_events = 4;
constexpr auto most_tokens = std::int64_t{most_events * upstream_stand_in::tokens_per_event};
constexpr auto longest_program = 8;
constexpr auto most_brief_turns = 24;  // Beyond any budget: programs that are not refused overspend.
constexpr auto longest_pause_ms = 60;
constexpr auto strangers = 5;                    // One turn in six is asked for by another account, too.
constexpr auto spare_gap_ms = milliseconds{60};  // Between two requests with spare keys.
constexpr auto hot_gap_ms = milliseconds{12};    // Four times what the hot account may send.
constexpr auto most_body = std::size_t{1U << 20U};
constexpr auto largest_padding = std::size_t{4'190'000};  // The configuration allows 4 MiB.
constexpr auto most_doublings = 6U;

auto promises_not_run(int status) -> bool {
  return status == 401 || status == 402 || status == 404 || status == 408 || status == 421 || status == 429 ||
         status == 503;
}

/// What a stream adds to the chain: the data of each event, each with a line feed.
auto output_of(const std::string& body, int& events) -> std::string {
  auto reader = event_stream{};
  auto output = std::string{};
  for (const auto& event : reader.feed(body)) {
    output += event.data_ + "\n";
    ++events;
  }
  return output;
}

auto set_key(http_request& request, const sender& from) -> void {
  if (!from.key_.empty()) {
    request.set(names::account_key, from.key_);
  }
}

}  // namespace

soak_callers::soak_callers(event_loop& loop, const soak_settings& settings, soak_fleet& fleet,
                           soak_ledger& ledger, calm_function calm)
    : loop_{&loop},
      settings_{settings},
      fleet_{&fleet},
      ledger_{&ledger},
      calm_{std::move(calm)},
      random_{settings.seed_} {}

auto soak_callers::new_id(const char* kind) -> std::string {
  return std::string{kind} + "-" + std::to_string(settings_.seed_) + "-" + std::to_string(++made_ids_);
}

auto soak_callers::ask(int gateway, http_request request) -> task<heard_answer> {
  auto heard = heard_answer{};
  heard.gateway_ = gateway;
  heard.began_at_ = clock_.now();
  request.set(http::field::host, "soak.example");
  request.set(names::time_left, std::to_string(time_limit_ms));
  if (!request.body().empty()) {
    request.prepare_payload();
  }
  auto parsed = parse_address(fleet_->caller_address(gateway));
  auto opened = co_await outgoing_connection::open(*loop_, value(parsed), time_limit_ms);
  auto* made = std::get_if<std::shared_ptr<outgoing_connection>>(&opened);
  if (made == nullptr) {
    co_return heard;
  }
  auto connection = *made;
  connection->send(std::make_shared<const http_request>(std::move(request)), time_limit_ms);
  auto head = co_await connection->read_head();
  auto* answer = std::get_if<http_response>(&head);
  if (answer == nullptr) {
    connection->abort();
    co_return heard;
  }
  heard.status_ = static_cast<int>(answer->result_int());
  heard.proven_ = !field_of(*answer, names::response_signature).empty();
  while (!heard.whole_ && heard.body_.size() < most_body) {
    auto piece = co_await connection->read_piece();
    auto* got = std::get_if<body_piece>(&piece);
    if (got == nullptr) {
      break;
    }
    heard.body_ += got->bytes_;
    heard.whole_ = got->last_;
  }
  connection->abort();
  co_return heard;
}

auto soak_callers::owner_of(int number) const -> sender {
  return settings_.accounts_ ? soak_accounts::of_caller(number) : sender{};
}

auto soak_callers::ask_plain(int gateway, std::string path) -> task<heard_answer> {
  auto id = new_id("plain");
  auto request = http_request{http::verb::get, path, 11};
  request.set(names::request_id, id);
  auto owner = owner_of(0);
  set_key(request, owner);
  ledger_->sent(id, "", true, owner);
  co_return co_await ask(gateway, std::move(request));
}

auto soak_callers::judge_error(const heard_answer& heard, const std::string& id) -> void {
  if (heard.whole_ && heard.status_ != 200) {
    ledger_->got_error(id, heard.body_);
  }
}

auto soak_callers::judge_turn(const heard_answer& heard, const std::string& id, const kept_turn& line,
                              spending& money) -> void {
  auto events = 0;
  auto cut = heard.status_ == 200 && !heard.whole_;
  if (heard.status_ == 200) {
    output_of(heard.body_, events);
    money.delivered_ += events * upstream_stand_in::tokens_per_event;
    ledger_->got(id, heard.body_, heard.whole_, heard.proven_);
  }
  judge_error(heard, id);
  auto refused = promises_not_run(heard.status_);
  if (refused) {
    ledger_->refused(id);
  } else if (!heard.whole_ || heard.status_ != 200) {
    money.unclear_ += most_tokens;
  }
  // A lease whose holder and witness were both killed may be granted once more: one turn's most at most.
  if (money.delivered_ > money.budget_ + most_tokens) {
    ledger_->broken(promise::budget_holds, line.program_ + " got " + std::to_string(money.delivered_) +
                                               " of " + std::to_string(money.budget_) + " tokens");
  }
  auto room = money.delivered_ + money.unclear_ + most_tokens <= money.budget_;
  if (heard.status_ == 402 && room) {
    ledger_->broken(promise::budget_holds, id + " was refused although the budget held it");
  }
  if (heard.status_ == 404) {
    ledger_->broken(promise::turn_is_kept, id + " got 404 behind " + line.turn_);
  }
  const auto& gateway = fleet_->gateways()[static_cast<std::size_t>(heard.gateway_)];
  auto no_answer = cut || heard.status_ == 0;
  if (no_answer && gateway.stopping_since_ > 0 && heard.began_at_ > 0 && calm_(heard.began_at_) &&
      heard.began_at_ < gateway.stopping_since_) {
    ledger_->broken(promise::planned_stop_cuts_nothing, id + " at gateway " + std::to_string(heard.gateway_));
  }
}

auto soak_callers::padding_of_turn() -> std::size_t {
  constexpr auto one_in = 16U;
  if (!settings_.large_inputs_ || random_() % one_in != 0) {
    return 0;
  }
  return largest_padding >> (random_() % most_doublings);
}

auto soak_callers::body_of(std::string text) -> std::string {
  if (settings_.early_responses_ && random_() % 2 == 0) {
    text.resize(text.size() + (largest_padding >> (random_() % most_doublings)), 'x');
  }
  return text;
}

auto soak_callers::run_turn(kept_turn& line, spending& money, milliseconds give_up_at) -> task<turn_result> {
  auto input = "input " + std::to_string(made_ids_) + " of " + line.program_ + ";";
  input.resize(input.size() + padding_of_turn(), 'x');
  while (clock_.now() < give_up_at) {
    auto id = new_id("turn");
    auto request = http_request{http::verb::post, "/turn/x", 11};
    request.set(names::request_id, id);
    request.set(names::program, line.program_);
    request.set(names::session, "s");
    request.set(names::budget, std::to_string(money.budget_));
    request.set(names::token_usage, "100," + std::to_string(most_tokens));
    if (!line.turn_.empty()) {
      request.set(names::previous_turn, line.turn_);
    }
    request.body() = input;
    set_key(request, line.owner_);
    ledger_->sent(id, line.chain_ + input, false, line.owner_);
    auto gateway = fleet_->pick_gateway(random_());
    auto heard = co_await ask(gateway, std::move(request));
    judge_turn(heard, id, line, money);
    if (heard.status_ == 200 && heard.whole_) {
      auto events = 0;
      line.chain_ += input + output_of(heard.body_, events);
      line.turn_ = id;
      co_return turn_result::whole;
    }
    if (heard.status_ == 402) {
      co_return turn_result::refused_budget;
    }
    co_await pause_for(*loop_, 50 + draw(longest_pause_ms));
  }
  co_return turn_result::failed;
}

auto soak_callers::run_tool(sender owner, std::string program) -> task<> {
  auto repeatable = draw(1) == 0;
  auto give_up_at = clock_.now() + turn_patience_ms;
  while (clock_.now() < give_up_at) {
    auto id = new_id("tool");
    auto request =
        http_request{repeatable ? http::verb::get : http::verb::post, repeatable ? "/safe/x" : "/once/x", 11};
    request.set(names::request_id, id);
    request.set(names::program, program);
    request.body() = body_of(repeatable ? "" : "do it");
    set_key(request, owner);
    ledger_->sent(id, request.body(), repeatable, owner);
    auto gateway = fleet_->pick_gateway(random_());
    auto heard = co_await ask(gateway, std::move(request));
    if (heard.status_ == 200) {
      ledger_->got(id, heard.body_, heard.whole_, heard.proven_);
    }
    judge_error(heard, id);
    auto refused = promises_not_run(heard.status_);
    if (refused) {
      ledger_->refused(id);
    }
    if (!refused && !repeatable) {
      co_return;  // Answered, or it may have run: it is not sent again.
    }
    if (heard.whole_ && heard.status_ == 200) {
      co_return;
    }
    co_await pause_for(*loop_, 50 + draw(longest_pause_ms));
  }
}

auto soak_callers::run_program(sender owner, std::string program) -> task<> {
  auto line = kept_turn{owner, program, "", ""};
  auto turns = 1 + draw(longest_program - 1);
  auto money = spending{};
  money.budget_ =
      (turns + draw(2)) * most_tokens - draw(1) * most_tokens / 2;  // Some do not hold the last turn.
  for (auto turn = 0; turn < turns && !stopped_; ++turn) {
    auto result = co_await run_turn(line, money, clock_.now() + turn_patience_ms);
    if (result != turn_result::whole) {
      break;
    }
    if (draw(1) == 0) {
      co_await run_tool(owner, program);
    }
    if (draw(strangers) == 0) {
      co_await ask_as_stranger(line);
    }
    co_await pause_for(*loop_, draw(longest_pause_ms));
  }
  if (!line.turn_.empty()) {
    kept_.push_back(std::move(line));
  }
}

auto soak_callers::ask_as_stranger(kept_turn line) -> task<> {
  if (!settings_.accounts_) {
    co_return;
  }
  auto stranger = soak_accounts::stranger_to(line.owner_);
  auto id = new_id("stranger");
  auto request = http_request{http::verb::post, "/turn/x", 11};
  request.set(names::request_id, id);
  request.set(names::program, line.program_);
  request.set(names::session, "s");
  request.set(names::token_usage, "100," + std::to_string(most_tokens));
  request.set(names::previous_turn, line.turn_);
  set_key(request, stranger);
  request.body() = "go on;";
  ledger_->sent(id, "never", false, stranger);
  auto gateway = fleet_->pick_gateway(random_());
  auto heard = co_await ask(gateway, std::move(request));
  if (heard.status_ == 200) {
    ledger_->broken(promise::accounts_are_apart, id + " goes on from " + line.turn_ + " of another account");
  }
}

auto soak_callers::send_tool(sender owner) -> task<> {
  auto id = new_id("tool");
  auto request = http_request{http::verb::post, "/once/x", 11};
  request.set(names::request_id, id);
  set_key(request, owner);
  request.body() = "do it";
  ledger_->sent(id, request.body(), false, owner);
  auto gateway = fleet_->pick_gateway(random_());
  auto heard = co_await ask(gateway, std::move(request));
  if (promises_not_run(heard.status_)) {
    ledger_->refused(id);
  }
}

auto soak_callers::run_spare_keys() -> task<> {
  while (!stopped_) {
    auto version = std::max(1, fleet_->version() - draw(1));
    start(*loop_, "send_tool", send_tool(soak_accounts::spare_key(version)));
    co_await pause_for(*loop_, spare_gap_ms);
  }
}

auto soak_callers::run_hot_account() -> task<> {
  while (!stopped_) {
    start(*loop_, "send_tool", send_tool(soak_accounts::of_hot()));
    co_await pause_for(*loop_, hot_gap_ms);
  }
}

auto soak_callers::run_brief_turn(const sender& owner, const std::string& program, spending& money)
    -> task<turn_result> {
  auto id = new_id("brief");
  auto request = http_request{http::verb::post, "/brief/x", 11};
  request.set(names::request_id, id);
  request.set(names::program, program);
  request.set(names::session, "s");
  request.set(names::budget, std::to_string(money.budget_));
  request.set(names::token_usage, "100," + std::to_string(most_tokens));
  request.body() = body_of("whole prompt of " + program);
  set_key(request, owner);
  ledger_->sent(id, request.body(), false, owner);
  auto gateway = fleet_->pick_gateway(random_());
  auto heard = co_await ask(gateway, std::move(request));
  if (heard.status_ == 200) {
    auto events = 0;
    output_of(heard.body_, events);
    money.delivered_ += events * upstream_stand_in::tokens_per_event;
    ledger_->got(id, heard.body_, heard.whole_, heard.proven_);
  }
  judge_error(heard, id);
  if (promises_not_run(heard.status_)) {
    ledger_->refused(id);
  }
  if (money.delivered_ > money.budget_ + most_tokens) {
    ledger_->broken(promise::budget_holds, program + " got " + std::to_string(money.delivered_) + " of " +
                                               std::to_string(money.budget_) + " tokens and one turn's most");
  }
  if (heard.status_ == 402) {
    co_return turn_result::refused_budget;
  }
  co_return heard.status_ == 200 && heard.whole_ ? turn_result::whole : turn_result::failed;
}

auto soak_callers::run_brief_program(sender owner, std::string program) -> task<> {
  auto money = spending{};
  money.budget_ = (1 + draw(longest_program)) * most_tokens;
  for (auto turn = 0; turn < most_brief_turns && !stopped_; ++turn) {
    auto result = co_await run_brief_turn(owner, program, money);
    if (result == turn_result::refused_budget && draw(1) == 0) {
      break;  // The others never stop by themselves.
    }
    co_await pause_for(*loop_, draw(longest_pause_ms));
  }
}

auto soak_callers::run_programs(int number) -> task<> {
  ++running_;
  co_await pause_for(*loop_, number * 7);  // Not all at once.
  auto owner = owner_of(number);
  while (!stopped_) {
    auto brief = draw(2) == 0;  // A third of all programs keep nothing of their turns.
    if (brief) {
      co_await run_brief_program(owner, new_id("program"));
    } else {
      co_await run_program(owner, new_id("program"));
    }
  }
  --running_;
}

auto soak_callers::go_on_from(kept_turn from, milliseconds limit) -> task<bool> {
  auto money = spending{};
  money.budget_ = std::int64_t{1} << 30;
  from.program_ = new_id("program");  // A program may go on from a turn of another one.
  auto result = co_await run_turn(from, money, clock_.now() + std::min(limit, final_patience_ms));
  co_return result == turn_result::whole;
}

}  // namespace birchlever::soak
