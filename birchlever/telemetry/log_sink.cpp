#include "birchlever/telemetry/log_sink.h"

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>

namespace birchlever {

log_sink::log_sink(int descriptor, std::size_t most_pending)
    : descriptor_{descriptor}, most_pending_{most_pending} {
  auto flags = fcntl(descriptor_, F_GETFL);
  if (flags >= 0) {
    fcntl(descriptor_, F_SETFL, flags | O_NONBLOCK);  // Refused for some devices, which then never fill.
  }
}

auto log_sink::write(std::string_view line) -> void {
  flush();
  if (pending_.size() + line.size() + 1 > most_pending_) {
    ++dropped_;
    return;
  }
  if (told_ != dropped_) {
    pending_ += R"({"level":"warning","event":"log_lines_dropped","count":)" +
                std::to_string(dropped_ - told_) + "}\n";
    told_before_ = told_;
    told_ = dropped_;
    announcing_ = true;
  }
  pending_ += line;
  pending_ += '\n';
  flush();
}

auto log_sink::flush() -> void {
  auto sent = std::size_t{0};
  while (sent < pending_.size()) {
    auto written = ::write(descriptor_, pending_.data() + sent, pending_.size() - sent);
    if (written < 0 && errno == EINTR) {
      continue;
    }
    if (written < 0 && errno != EAGAIN && errno != EWOULDBLOCK) {
      // The other end is closed, the disk is full, or the file has reached its size limit.
      dropped_ += std::count(pending_.begin(), pending_.end(), '\n') - (announcing_ ? 1 : 0);
      told_ = announcing_ ? told_before_ : told_;
      announcing_ = false;
      pending_.clear();
      return;
    }
    if (written <= 0) {
      break;
    }
    sent += static_cast<std::size_t>(written);
  }
  pending_.erase(0, sent);
  announcing_ = announcing_ && !pending_.empty();
}

}  // namespace birchlever
