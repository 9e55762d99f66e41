#include "stand_ins/platform_stand_in.h"

#include <algorithm>
#include <thread>

namespace birchlever::stand_ins {
namespace {

using nlohmann::json;

constexpr auto json_type = "application/json";

auto row_to_json(const table_row& row) -> json {
  return {{"key", row.key_}, {"value", row.value_}, {"version", row.version_}, {"write_id", row.write_id_}};
}

auto transaction_from_json(const json& body) -> table_transaction {
  auto transaction = table_transaction{};
  transaction.write_id_ = body.at("write_id");
  for (const auto& condition : body.at("conditions")) {
    transaction.conditions_.push_back({condition.at("key"), condition.at("version")});
  }
  for (const auto& put : body.at("puts")) {
    transaction.puts_.push_back({put.at("key"), put.at("value")});
  }
  transaction.deletes_ = body.at("deletes").get<std::vector<std::string>>();
  return transaction;
}

auto pause(double milliseconds) -> void {
  std::this_thread::sleep_for(std::chrono::duration<double, std::milli>{milliseconds});
}

}  // namespace

auto platform_stand_in::allowance::take() -> bool {
  auto now = clock::now();
  left_ = std::min(per_second_, left_ + std::chrono::duration<double>{now - at_}.count() * per_second_);
  at_ = now;
  if (left_ < 1) {
    return false;
  }
  left_ -= 1;
  return true;
}

platform_stand_in::platform_stand_in(const platform_settings& settings) : settings_{settings} {
  writes_.per_second_ = writes_.left_ = settings.writes_per_second_;
  reads_.per_second_ = reads_.left_ = settings.reads_per_second_;
  table_routes();
  object_routes();
  list_routes();
}

auto platform_stand_in::admit(bool writes, httplib::Response& response) -> bool {
  auto flap = http_.faults().level("flap_ms");
  auto phase = std::chrono::duration_cast<std::chrono::milliseconds>(clock::now().time_since_epoch()).count();
  auto flapped = flap > 0 && (phase / static_cast<std::int64_t>(flap)) % 2 == 1;
  if (http_.faults().on("down") || flapped) {
    response.status = 503;
    return false;
  }
  {
    auto lock = std::lock_guard{mutex_};
    if (!(writes ? writes_ : reads_).take()) {
      ++refused_count_;
      response.status = 429;
      return false;
    }
  }
  ++(writes ? write_count_ : read_count_);
  pause(settings_.store_ms_ + http_.faults().level("slow_ms"));
  return true;
}

/// The write took effect; its answer never comes: the connection is closed without one.
auto platform_stand_in::lose_answer(httplib::Response& response) -> void {
  response.set_content_provider(1, json_type,
                                [](std::size_t, std::size_t, httplib::DataSink&) { return false; });
}

auto platform_stand_in::table_routes() -> void {
  auto& server = http_.server();
  server.Post("/table/commit", [this](const httplib::Request& request, httplib::Response& response) {
    if (!admit(true, response)) {
      return;
    }
    auto outcome = store_.commit(transaction_from_json(json::parse(request.body)));
    if (http_.faults().take("lose_answers")) {
      lose_answer(response);
      return;
    }
    response.status = ok(outcome) ? 200 : 409;
    auto body =
        ok(outcome) ? json{{"version", value(outcome)}} : json{{"conflict", failure(outcome).detail_}};
    response.set_content(body.dump(), json_type);
  });
  server.Post("/table/read", [this](const httplib::Request& request, httplib::Response& response) {
    if (!admit(false, response)) {
      return;
    }
    auto row = store_.read(json::parse(request.body).at("key"));
    response.status = value(row) ? 200 : 404;
    response.set_content(value(row) ? row_to_json(*value(row)).dump() : "{}", json_type);
  });
  server.Post("/table/scan", [this](const httplib::Request& request, httplib::Response& response) {
    if (!admit(false, response)) {
      return;
    }
    auto question = json::parse(request.body);
    auto rows = store_.scan(question.at("prefix"), question.at("after"), question.at("limit"));
    auto list = json::array();
    for (const auto& row : value(rows)) {
      list.push_back(row_to_json(row));
    }
    response.set_content(json{{"rows", std::move(list)}}.dump(), json_type);
  });
  server.Get("/counts", [this](const httplib::Request&, httplib::Response& response) {
    auto body = json{{"writes", write_count_.load()},
                     {"reads", read_count_.load()},
                     {"refused", refused_count_.load()},
                     {"list", list_count_.load()}};
    response.set_content(body.dump(), json_type);
  });
  server.Post("/raw/scan", [this](const httplib::Request& request, httplib::Response& response) {
    auto question = json::parse(request.body);
    auto rows = store_.scan(question.at("prefix"), "", 1000000);
    auto list = json::array();
    for (const auto& row : value(rows)) {
      list.push_back(row_to_json(row));
    }
    response.set_content(json{{"rows", std::move(list)}}.dump(), json_type);
  });
}

auto platform_stand_in::object_routes() -> void {
  auto& server = http_.server();
  server.Put("/objects/(.*)", [this](const httplib::Request& request, httplib::Response& response) {
    if (admit(true, response)) {
      (void)store_.put_object(request.matches[1], request.body);
      response.set_content("{}", json_type);
    }
  });
  server.Get("/objects/(.*)", [this](const httplib::Request& request, httplib::Response& response) {
    if (!admit(false, response)) {
      return;
    }
    auto object = store_.get_object(request.matches[1]);
    response.status = value(object) ? 200 : 404;
    response.set_content(value(object).value_or(""), "application/octet-stream");
  });
  server.Delete("/objects/(.*)", [this](const httplib::Request& request, httplib::Response& response) {
    if (admit(true, response)) {
      (void)store_.delete_object(request.matches[1]);
      response.set_content("{}", json_type);
    }
  });
}

auto platform_stand_in::visible_list() -> json {
  auto lock = std::lock_guard{mutex_};
  auto now = clock::now();
  auto entries = std::map<std::string, json>{};
  for (const auto& change : changes_) {
    if (change.visible_at_ > now) {
      continue;
    }
    auto id = change.entry_.at("id").get<std::string>();
    if (change.removes_) {
      entries.erase(id);
    } else {
      entries[id].merge_patch(change.entry_);
    }
  }
  auto list = json::array();
  for (auto& [id, entry] : entries) {
    list.push_back(std::move(entry));
  }
  return json{{"vms", std::move(list)}};
}

auto platform_stand_in::list_routes() -> void {
  auto& server = http_.server();
  server.Get("/vms", [this](const httplib::Request&, httplib::Response& response) {
    ++list_count_;
    if (http_.faults().on("list_down")) {
      response.status = 503;
      return;
    }
    response.set_content(visible_list().dump(), json_type);
  });
  auto change = [this](bool removes) {
    return [this, removes](const httplib::Request& request, httplib::Response& response) {
      auto lag = std::chrono::milliseconds{static_cast<std::int64_t>(settings_.list_lag_ms_)};
      auto lock = std::lock_guard{mutex_};
      changes_.push_back({clock::now() + lag, json::parse(request.body), removes});
      response.set_content("{}", json_type);
    };
  };
  server.Post("/vms", change(false));
  server.Post("/vms/remove", change(true));
}

}  // namespace birchlever::stand_ins
