/// Messages between the actors of one daemon; they never leave the process.
#pragma once

#include <atomic>
#include <caf/all.hpp>
#include <memory>
#include <string>
#include <vector>

#include "birchlever/controllers/owner_messages.h"
#include "birchlever/coordination/journal.h"
#include "birchlever/core/clock.h"
#include "birchlever/storage/table_store_interface.h"

namespace birchlever {

/// Records to append to the journal. The shard's controller numbers batches from 1 within an epoch.
struct append_message {
  std::int64_t batch_ = 0;
  std::vector<journal_record> records_;
};

/// Sent after a shard's takeover with the state recovered from the journal.
struct recovered_message {
  std::int64_t epoch_ = 0;
  journal_recovery recovery_;
  milliseconds took_ms_ = 0;
};

/// All batches up to `batch_` are durable; `sequence_` is the journal's last row.
struct committed_message {
  std::int64_t batch_ = 0;
  std::int64_t sequence_ = 0;
};

/// The shard's control row as read, and this daemon's rank among the shard's preferred owners.
struct observed_message {
  std::optional<table_row> row_;
  int rank_ = 0;
  std::string successor_;  ///< Daemon that should own the shard instead; empty if none.
};

/// Validity of a shard's lease; written by the shard's writer, read by its controller.
struct lease_validity {
  std::atomic<bool> held_{false};
  std::atomic<milliseconds> until_{0};
};

/// State of a call as reported by its upstream.
enum class probe_outcome { running, gone, executed, voided, unknown };

/// A query about a call's state, sent to its upstream, and the reply.
struct probe_message {
  std::string account_;
  std::string program_;
  std::int32_t number_ = 0;
  std::string upstream_;
  std::string key_;
  std::int64_t sequence_ = 0;
  bool service_ = false;
  probe_outcome outcome_ = probe_outcome::unknown;
  std::string answer_;
};

/// Sessions of a shard's live programs, for the sweep of engine memory.
struct sweep_message {
  int shard_ = 0;
  std::vector<std::string> live_sessions_;
};

using open_atom = caf::atom_constant<caf::atom("open")>;
using settle_atom = caf::atom_constant<caf::atom("settle")>;
using accepted_atom = caf::atom_constant<caf::atom("accepted")>;
using create_atom = caf::atom_constant<caf::atom("create")>;
using end_atom = caf::atom_constant<caf::atom("end")>;
using history_atom = caf::atom_constant<caf::atom("history")>;
using rows_atom = caf::atom_constant<caf::atom("rows")>;
using append_atom = caf::atom_constant<caf::atom("append")>;
using flush_atom = caf::atom_constant<caf::atom("flush")>;
using snapshot_atom = caf::atom_constant<caf::atom("snapshot")>;
using recovered_atom = caf::atom_constant<caf::atom("recovered")>;
using committed_atom = caf::atom_constant<caf::atom("committed")>;
using lost_atom = caf::atom_constant<caf::atom("lost")>;
using observed_atom = caf::atom_constant<caf::atom("observed")>;
using release_atom = caf::atom_constant<caf::atom("release")>;
using hand_over_atom = caf::atom_constant<caf::atom("handover")>;
using probe_atom = caf::atom_constant<caf::atom("probe")>;
using sweep_atom = caf::atom_constant<caf::atom("sweep")>;
using tick_atom = caf::atom_constant<caf::atom("tick")>;
using poll_atom = caf::atom_constant<caf::atom("poll")>;
using stop_atom = caf::atom_constant<caf::atom("stop")>;

template <class T>
using shared = std::shared_ptr<const T>;

}  // namespace birchlever

CAF_ALLOW_UNSAFE_MESSAGE_TYPE(birchlever::shared<birchlever::open_request>)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(birchlever::shared<birchlever::open_reply>)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(birchlever::shared<birchlever::settle_request>)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(birchlever::shared<birchlever::settle_reply>)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(birchlever::shared<birchlever::accepted_report>)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(birchlever::shared<birchlever::program_request>)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(birchlever::shared<birchlever::append_message>)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(birchlever::shared<birchlever::recovered_message>)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(birchlever::shared<birchlever::committed_message>)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(birchlever::shared<birchlever::observed_message>)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(birchlever::shared<birchlever::journal_snapshot>)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(birchlever::shared<birchlever::probe_message>)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(birchlever::shared<birchlever::sweep_message>)
