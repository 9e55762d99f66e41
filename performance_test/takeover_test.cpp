/// What a takeover costs against the number of programs: reads, time and memory, from rows and from a
/// snapshot.
#include <unistd.h>

#include <chrono>
#include <fstream>
#include <iomanip>
#include <sstream>

#include "birchlever/coordination/journal.h"
#include "birchlever/coordination/lease.h"
#include "birchlever/coordination/program_ledger.h"
#include "birchlever/storage/memory_table_store.h"
#include "performance_test/performance_tests.h"
#include "performance_test/picture.h"

namespace birchlever::performance {
namespace {

constexpr auto calls_each = 3;
constexpr auto records_a_row = 20;
constexpr auto answer_bytes = 400;
constexpr auto bytes_per_kb = 1024.0;

struct takeover_cost {
  std::int64_t reads_ = 0;
  double ms_ = 0;
  double kb_ = 0;
  double snapshot_kb_ = 0;
};

auto resident_kb() -> double {
  auto file = std::ifstream{"/proc/self/statm"};
  auto total = 0L;
  auto resident = 0L;
  file >> total >> resident;
  return static_cast<double>(resident) * static_cast<double>(sysconf(_SC_PAGESIZE)) / bytes_per_kb;
}

auto records_of(int programs) -> std::vector<journal_record> {
  auto records = std::vector<journal_record>{};
  for (auto program = 0; program < programs; ++program) {
    auto id = "program-" + std::to_string(program);
    auto opened = journal_record{record_kind::program_opened, "account-" + std::to_string(program % 100), id};
    opened.budget_ = 100000;
    opened.reserved_ = 2048;
    opened.policy_ = "default";
    records.push_back(opened);
    for (auto call = 1; call <= calls_each; ++call) {
      auto answered = journal_record{record_kind::call_answered, opened.account_, id, call};
      answered.tokens_ = 100;
      answered.digest_ = 12345U + static_cast<unsigned>(call);
      answered.upstream_ = "engine-" + std::to_string(program % 12);
      answered.answer_ = std::string(answer_bytes, 'a');
      records.push_back(answered);
    }
  }
  return records;
}

auto recover(const std::shared_ptr<memory_table_store>& store, std::int64_t fence) -> takeover_cost {
  auto cost = takeover_cost{};
  auto before = resident_kb();
  auto began = std::chrono::steady_clock::now();
  auto reader = value(journal::create({}, 0, fence, store));
  auto found = value(reader.recover());
  auto ledger = value(program_ledger::create({}, 2));
  (void)ledger.recover(found, 0);
  cost.ms_ = std::chrono::duration<double, std::milli>{std::chrono::steady_clock::now() - began}.count();
  cost.reads_ = found.reads_;
  cost.snapshot_kb_ = static_cast<double>(found.snapshot_.size()) / bytes_per_kb;
  found = {};
  cost.kb_ = std::max(0.0, resident_kb() - before);
  return cost;
}

}  // namespace

auto test_takeover(const test_settings& settings) -> bool {
  auto text = std::ostringstream{};
  auto points = std::vector<std::pair<double, double>>{};
  auto good = true;
  text << std::fixed << std::setprecision(1)
       << "| programs | from rows: reads | ms | from a snapshot: reads | ms | snapshot KB "
          "|\n|---|---|---|---|---|---|\n";
  for (auto programs : {100, 1000, 3000, 10000}) {
    auto store = std::make_shared<memory_table_store>();
    auto fence = value(store->commit({"w", {}, {{lease::fence_key(0), "1"}}, {}}));
    auto writer = value(journal::create({}, 0, fence, store));
    auto records = records_of(programs);
    auto ledger = value(program_ledger::create({}, 1));
    for (auto place = std::size_t{0}; place < records.size(); place += records_a_row) {
      auto end = std::min(records.size(), place + records_a_row);
      auto batch = std::vector(records.begin() + static_cast<std::ptrdiff_t>(place),
                               records.begin() + static_cast<std::ptrdiff_t>(end));
      (void)writer.commit(batch, [] { return true; });
      for (const auto& record : batch) {
        ledger.apply(record, 0);
      }
    }
    auto from_rows = recover(store, fence);
    (void)writer.write_snapshot(ledger.prepare_snapshot(0, writer.last_sequence()));
    auto from_snapshot = recover(store, fence);
    points.emplace_back(programs, from_snapshot.ms_);
    text << "| " << programs << " | " << from_rows.reads_ << " | " << from_rows.ms_ << " | "
         << from_snapshot.reads_ << " | " << from_snapshot.ms_ << " | " << from_snapshot.snapshot_kb_
         << " |\n";
    good = good && from_snapshot.reads_ <= 3 &&
           from_rows.reads_ <= 3 + programs * (calls_each + 1) / records_a_row / 256;
  }
  auto fit = fit_line(points);
  text << "\nFit from a snapshot: " << fit.offset_ << " ms + " << std::setprecision(4) << fit.slope_
       << " ms a program, residual " << fit.residual_ << " ms\n";
  publish(settings, "takeover", text.str());
  draw_lines(settings.tables_, "takeover", "takeover from a snapshot: ms against programs", {{"ms", points}});
  return good || !settings.check_;
}

}  // namespace birchlever::performance
