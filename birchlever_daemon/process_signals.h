/// What signals do to a daemon: none ends it but those that ask it to stop, and these only in order.
#pragma once

namespace birchlever {

/// Ignores the signals whose default action would end a daemon although nothing asked it to stop: those of
/// pipes, limits, timers that it inherits, and others that it has no use for. Holds SIGHUP, SIGTERM and
/// SIGINT back. To be called first in main, before any thread is started: threads inherit what is held back.
auto prepare_signals() -> void;

/// Delivers SIGHUP, SIGTERM and SIGINT, also those that came while they were held back. To be called once
/// their handlers are installed.
auto deliver_signals() -> void;

/// Holds SIGHUP, SIGTERM and SIGINT back again. To be called before their handlers are removed: the default
/// action would end a daemon in the middle of its stop.
auto hold_signals() -> void;

/// Waits for SIGTERM or SIGINT, which have to be held back, for at most `limit_ms`. True if one came.
[[nodiscard]] auto stop_requested_within(long limit_ms) -> bool;

/// Waits for SIGTERM or SIGINT, which have to be held back.
auto await_stop_request() -> void;

/// Writes one line of JSON to standard output when a fault of the program is about to end the process
/// (SIGSEGV, SIGBUS, SIGFPE, SIGILL, SIGTRAP, SIGABRT), with the addresses on the stack. The process then
/// ends by that signal as it would have without.
auto report_fatal_signals() -> void;

}  // namespace birchlever
