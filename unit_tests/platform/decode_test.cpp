/// Tests of decoding the platform's records and headers.
#include "platform/decode.h"

#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "birchlever/accounts/key_digest.h"
#include "platform/header_dialect.h"

namespace birchlever::platform {
namespace {

constexpr auto configuration_text = R"({"version":7,"routes":[
  {"name":"r1","host":"A.example","path_prefix":"/a/","type":"streaming","timeout_ms":4000,"slo_ms":200,
   "priority":1,"split":[{"service":"s1","weight":90},{"service":"s2","weight":10}],"max_attempts":2,
   "retained":true,"retention_s":60.5},
  {"name":"r2","host":"a.example","path_prefix":"/a/b/","type":"safe","timeout_ms":2000,"service":"s2"}],
 "services":[{"name":"s1","health_path":"/healthz","max_conns":370,
   "engine":{"slots":64,"kv_capacity":342837,"chunk_tokens":4}},{"name":"s2"}],
 "limits":{"max_header_bytes":100,"max_body_bytes":200,"header_timeout_ms":300,"idle_timeout_ms":400}})";

}  // namespace

TEST_CASE("a configuration is decoded completely") {
  auto decoded = decode_configuration(configuration_text);
  REQUIRE(ok(decoded));
  const auto& configuration = value(decoded);
  REQUIRE(configuration.version_ == 7);
  const auto* found = configuration.find_route("a.EXAMPLE:80", "/a/x?y=/a/b/");
  REQUIRE(found != nullptr);
  REQUIRE(found->name_ == "r1");
  REQUIRE(found->kind_ == route_kind::streaming);
  REQUIRE(found->retention_ == 60500);
  REQUIRE(found->services_.size() == 2);
  REQUIRE(configuration.find_route("a.example", "/a/b/c")->name_ == "r2");
  REQUIRE(configuration.find_route("a.example", "/") == nullptr);
  REQUIRE(configuration.find_route("b.example", "/a/b/") == nullptr);
  REQUIRE(configuration.find_service("s1")->engine_->tokens_per_event_ == 4);
  REQUIRE_FALSE(configuration.find_service("s2")->engine_);
  REQUIRE(configuration.limits_.max_body_bytes_ == 200);
}

TEST_CASE("a split follows its weights, and a key is always assigned to the same service") {
  auto decoded = decode_configuration(configuration_text);
  const auto& split = value(decoded).routes_[0];
  auto first = 0;
  for (auto number = 0; number < 2000; ++number) {
    auto key = std::to_string(number);
    REQUIRE(service_for(split, key) == service_for(split, key));
    first += service_for(split, key) == "s1" ? 1 : 0;
  }
  REQUIRE(first > 1700);
  REQUIRE(first < 1900);
}

TEST_CASE("client accounts are decoded with key digests, and invalid ones are rejected") {
  auto with = [](const std::string& accounts) {
    return decode_configuration(R"({"version":7,"routes":[{"name":"r","host":"h","path_prefix":"/a/",
      "type":"safe","service":"s","public":true}],"services":[{"name":"s"}],"tenants":)" +
                                accounts + "}");
  };
  auto decoded = with(R"([{"name":"n","api_keys":["k1","k2"],"priority":1,"rate_per_s":304,"burst":30.5},
                          {"name":"free","api_keys":[]}])");
  REQUIRE(ok(decoded));
  REQUIRE(value(decoded).routes_[0].public_);
  const auto* account = value(decoded).accounts_->find_by_key_digest(sha256_hex("k2"));
  REQUIRE(account != nullptr);
  CHECK(account->name_ == "n");
  CHECK(account->rank_ == 1);
  CHECK(account->allotment_.rate_per_s_ == 304);
  CHECK(account->allotment_.burst_ == 30.5);
  CHECK(!value(decoded).accounts_->find("free")->allotment_.limited());
  CHECK(value(with("[]")).accounts_ != nullptr);  // Accounts are enabled, with an empty list.
  CHECK(value(decode_configuration(configuration_text)).accounts_ == nullptr);
  CHECK(failure(with(R"([{"name":"a","api_keys":["k"]},{"name":"b","api_keys":["k"]}])")).code_ ==
        error_code::invalid_account);
  CHECK(failure(with(R"([{"api_keys":["k"]}])")).code_ == error_code::invalid_account);
  CHECK(failure(with(R"([{"name":"a","rate_per_s":-1}])")).code_ == error_code::invalid_account);
  CHECK(failure(with(R"([{"name":"a","rate_per_s":"x"}])")).code_ == error_code::wrong_type);
}

TEST_CASE("malformed records are rejected with the matching error code") {
  REQUIRE(failure(decode_configuration("{")).code_ == error_code::malformed_json);
  REQUIRE(failure(decode_configuration("{}")).code_ == error_code::missing_field);
  REQUIRE(failure(decode_configuration(R"({"version":"x","routes":[],"services":[]})")).code_ ==
          error_code::wrong_type);
  REQUIRE(failure(decode_upstream("i1", R"({"service":"s"})")).code_ == error_code::missing_field);
  REQUIRE(failure(decode_upstream("i1", R"({"service":"s","address":"nowhere"})")).code_ ==
          error_code::missing_field);
  REQUIRE(failure(decode_upstream("i1", R"({"service":"s","address":"nowhere","zone":"a","slots":6,
      "version":"v1","cold_left_ms":0,"sequence":4,"state":"ready"})"))
              .code_ == error_code::invalid_setting);
}

TEST_CASE("an upstream's entry is decoded with its state") {
  auto text = std::string{R"({"service":"s","address":"10.0.0.1:80","zone":"a","slots":6,"version":"v1",
    "cold_left_ms":250,"sequence":4,"state":")"};
  auto ready = decode_upstream("i1", text + R"(ready","born":1796300000123,"models":[{"name":"m"}]})");
  auto leaving = decode_upstream("i1", text + R"(draining"})");
  REQUIRE(ok(ready));
  REQUIRE_FALSE(value(ready).leaving_);
  REQUIRE(value(ready).models_ == std::vector<std::string>{"m"});
  REQUIRE(value(ready).cold_left_ == 250);
  REQUIRE(value(ready).born_ == 1796300000123);
  REQUIRE(value(leaving).leaving_);
  REQUIRE(value(leaving).born_ == 0);
}

TEST_CASE("entries with a missing field, a field of the wrong type or an unknown state are rejected") {
  const auto valid = nlohmann::json::parse(
      R"({"service":"s","address":"10.0.0.1:80","zone":"a","slots":6,"version":"v1","cold_left_ms":0,
          "sequence":4,"state":"ready","born":1796300000123,"models":[{"name":"m"}]})");
  REQUIRE(ok(decode_upstream("i1", valid.dump())));
  for (const auto* field :
       {"service", "address", "zone", "slots", "version", "cold_left_ms", "sequence", "state"}) {
    auto without = valid;
    without.erase(field);
    CHECK(failure(decode_upstream("i1", without.dump())).code_ == error_code::missing_field);
  }
  const auto others = std::vector<nlohmann::json>{
      nullptr, true, -1, 1.5, "", "x", nlohmann::json::array(), nlohmann::json::object()};
  for (const auto& field : valid.items()) {
    for (const auto& other : others) {
      auto same_kind =
          other.type() == field.value().type() || (other.is_number() && field.key() == "sequence");
      if (same_kind) {
        continue;
      }
      auto changed = valid;
      changed[field.key()] = other;
      INFO(changed.dump());
      auto accepted = field.key() == "cold_left_ms" && other == 1.5;
      CHECK(ok(decode_upstream("i1", changed.dump())) == accepted);
    }
  }
  CHECK_FALSE(ok(decode_upstream("i1", R"("text")")));
  CHECK_FALSE(ok(decode_upstream("i1", "\xff\xfe{")));
  auto unknown_state = valid;
  unknown_state["state"] = "resting";
  CHECK(failure(decode_upstream("i1", unknown_state.dump())).code_ == error_code::wrong_type);
}

TEST_CASE("a packed entry decodes like the JSON entry and has less than half of its size") {
  const auto valid = std::string{
      R"({"service":"huvo11a","address":"10.128.0.9:8080","zone":"hall-a","version":"v1","slots":6,"state":"ready",)"
      R"("cold_left_ms":70,"stage":"both","models":[{"name":"m","version":1,"adapters":[]}],"sequence":4,"born":5})"};
  auto packed = pack_upstream(valid);
  CHECK(packed.size() < valid.size() / 2);
  REQUIRE(ok(decode_upstream("i1", packed)));
  CHECK(comparison_key(value(decode_upstream("i1", packed))) ==
        comparison_key(value(decode_upstream("i1", valid))));
  CHECK(pack_upstream(packed) == packed);
  CHECK(pack_upstream("nonsense") == "nonsense");
  CHECK(failure(decode_upstream("i1", pack_upstream("{}"))).code_ == error_code::missing_field);
  CHECK_FALSE(ok(decode_upstream("i1", packed.substr(0, packed.size() / 2))));
}

TEST_CASE("mutated entries decode to a valid entry or an error") {
  const auto valid = std::string{
      R"({"service":"s","address":"10.0.0.1:80","zone":"a","slots":6,"version":"v1","cold_left_ms":0,)"
      R"("sequence":4,"state":"ready","born":1796300000123,"models":[{"name":"m"}]})"};
  auto passed = rc::check("mutated entries", [&valid] {
    auto text = valid;
    auto changes = *rc::gen::inRange(1, 6);
    for (auto change = 0; change < changes; ++change) {
      auto position = static_cast<std::size_t>(*rc::gen::inRange(0, static_cast<int>(text.size())));
      text[position] = *rc::gen::arbitrary<char>();
    }
    auto decoded = decode_upstream("i1", text);
    if (ok(decoded)) {
      RC_ASSERT(value(decoded).slots_ > 0);
      RC_ASSERT(!value(decoded).service_.empty());
    } else {
      RC_ASSERT(!failure(decoded).detail_.empty());
    }
  });
  CHECK(passed);
}

TEST_CASE("evacuation rows of the operators' table are recognized by their key") {
  CHECK(evacuated_data_hall("evacuate/hall-a") == "hall-a");
  CHECK_FALSE(evacuated_data_hall("evacuate/"));
  CHECK_FALSE(evacuated_data_hall("config"));
}

TEST_CASE("allowed regions and limits of cold upstreams are decoded") {
  auto decoded = decode_configuration(R"({"version":1,"routes":[{"name":"r","host":"h","path_prefix":"/a/",
      "type":"safe","service":"s","allowed_regions":["north"]}],
      "services":[{"name":"s","cold_start_s":3.0,"cold_per_s":32.0}],
      "tenants":[{"name":"n","api_keys":["k"],"allowed_regions":["south","north"]}]})");
  REQUIRE(ok(decoded));
  CHECK(value(decoded).routes_[0].allowed_regions_ == std::vector<std::string>{"north"});
  CHECK(value(decoded).accounts_->find("n")->allowed_regions_.size() == 2);
  CHECK(value(decoded).find_service("s")->cold_requests_per_s_ == 32);
  CHECK(value(decoded).find_service("s")->cold_duration_ == 3000);
}

TEST_CASE("a route's streams are resumable only if the configuration says so") {
  auto text =
      std::string{R"({"version":1,"services":[],"routes":[{"name":"r","host":"h","path_prefix":"/a/",)"};
  auto by_default = decode_configuration(text + R"("type":"streaming","service":"s"}]})");
  auto resumable = decode_configuration(text + R"("type":"streaming","service":"s","resumable":true}]})");
  REQUIRE(ok(by_default));
  REQUIRE(ok(resumable));
  CHECK_FALSE(value(by_default).routes_[0].resumable_);
  CHECK(value(resumable).routes_[0].resumable_);
}

TEST_CASE("the last event id is parsed from the caller's request and set for the upstream") {
  auto dialect = header_dialect{};
  auto request = http_request{http::verb::post, "/a/x", 11};
  request.set("X-Request-Id", "r1");
  request.set("Last-Event-Id", "12");
  CHECK(value(dialect.read_request(request)).last_event_ == 12);
  auto headers = upstream_headers{};
  headers.last_event_ = 14;
  dialect.set_upstream_headers(request, headers);
  CHECK(field_of(request, "Last-Event-Id") == "14");
  request.set("Last-Event-Id", "twelve");
  CHECK_FALSE(ok(dialect.read_request(request)));
}

TEST_CASE("request headers are parsed, and errors name the malformed header") {
  auto dialect = header_dialect{};
  auto request = http_request{http::verb::post, "/a/x", 11};
  request.set("X-Request-Id", "r1");
  request.set("X-Token-Usage", "1840,136");
  request.set("X-Prefix-Hash", "5c1e07a2:800,91bd3f06:410");
  request.set("X-Token-Budget", "1088");
  auto metadata = dialect.read_request(request);
  REQUIRE(ok(metadata));
  REQUIRE(value(metadata).prompt_tokens_ == 1840);
  REQUIRE(value(metadata).max_tokens_ == 136);
  REQUIRE(value(metadata).parts_.size() == 2);
  REQUIRE(value(metadata).parts_[0].id_ == 0x5c1e07a2);
  REQUIRE(value(metadata).budget_ == 1088);
  for (const auto& [name, content] :
       std::vector<std::pair<std::string, std::string>>{{"X-Prefix-Hash", "zz:1"},
                                                        {"X-Prefix-Hash", "5c"},
                                                        {"X-Token-Usage", "5"},
                                                        {"X-Token-Budget", "-5"},
                                                        {"X-Deadline-Ms", "soon"}}) {
    auto malformed = request;
    malformed.set(name, content);
    auto read = dialect.read_request(malformed);
    REQUIRE_FALSE(ok(read));
    REQUIRE(failure(read).code_ == error_code::malformed_request);
    REQUIRE(failure(read).detail_.find(name) != std::string::npos);
  }
}

}  // namespace birchlever::platform
