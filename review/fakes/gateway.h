/// A gateway process of the project, started as the deploy file says.
#pragma once

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdlib>
#include <fstream>
#include <string>

#include "client.h"

namespace review {

/// Starts, signals and ends one process.
class gateway {
 public:
  gateway(int number, std::string ip, std::string store_address, std::string folder)
      : number_{number}, ip_{std::move(ip)}, store_{std::move(store_address)}, folder_{std::move(folder)} {}

  ~gateway() { kill_now(); }
  gateway(const gateway&) = delete;
  auto operator=(const gateway&) -> gateway& = delete;

  auto start(bool first) -> void {
    auto file = folder_ + "/gateway-" + std::to_string(number_) + ".flags";
    auto name = "edge-" + std::to_string(number_);
    std::ofstream{file} << "# settings, ended by the line: # end of settings\n"
                        << "--vm_id=" << name << "\n--data_hall=" << (number_ % 2 == 0 ? "zone-a" : "zone-b")
                        << "\n--store_address=" << store_ << "\n--caller_address=" << ip_
                        << ":8149\n--readiness_address=" << ip_ << ":8141\n--control_address=" << ip_
                        << ":8144\n--peer_ports=7380,7395\n"
                        << "--stop_grace_s=8\n"
                        << extra_ << "--configuration_apply_ms=2000\n"
                        << "--hall_regions=zone-a=region,zone-b=region\n--cores=0.5\n"
                        << (first ? "--first_start=1\n" : "")
                        << "--memory_mb=120\n--store_writes_per_s=800\n--spent_memory=1\n# end of settings\n";
    auto log = folder_ + "/gateway-" + std::to_string(number_) + ".log";
    process_ = fork();
    if (process_ == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);  // It ends with the case, however that ends.
      auto out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      dup2(out, STDOUT_FILENO);
      dup2(out, STDERR_FILENO);
      for (auto descriptor = 3; descriptor < 1024; ++descriptor) {
        close(descriptor);
      }
      setenv("BIRCHLEVER_BOOT", file.c_str(), 1);
      execl("target/birchlever", "target/birchlever", "gateway", nullptr);
      _exit(127);
    }
  }

  /// Waits until the process says that it is ready.
  auto wait_until_ready(long limit_ms) -> bool {
    auto until = now_ms() + limit_ms;
    while (now_ms() < until) {
      if (review::send(ip_, 8141, http::verb::get, "/birchlever/readyz", {{"Host", ip_}}, "", 1000).status_ ==
          200) {
        return true;
      }
      usleep(50'000);
    }
    return false;
  }

  auto signal(int number) -> void {
    if (process_ > 0) {
      kill(process_, number);
    }
  }

  auto kill_now() -> void {
    if (process_ > 0) {
      kill(process_, SIGCONT);
      kill(process_, SIGKILL);
      waitpid(process_, nullptr, 0);
      process_ = 0;
    }
  }

  /// Returns true if the process ended by itself.
  auto ended() -> bool {
    if (process_ <= 0 || waitpid(process_, nullptr, WNOHANG) != process_) {
      return false;
    }
    process_ = 0;
    return true;
  }

  auto ip() const -> const std::string& { return ip_; }
  /// Returns its process id.
  auto pid() const -> pid_t { return process_; }
  auto set_extra(std::string lines) -> void { extra_ = std::move(lines); }
  auto set_store(std::string address) -> void { store_ = std::move(address); }

 private:
  int number_;
  std::string ip_;
  std::string store_;
  std::string folder_;
  std::string extra_;
  pid_t process_ = 0;
};

}  // namespace review
