/// The file descriptors of a daemon: which it never hands to a socket.
#pragma once

namespace birchlever {

/// Opens /dev/null for standard input, output and error where they are closed. Without it, the next sockets
/// get their numbers, and the log is written into them. To be called first in main.
auto reserve_standard_descriptors() -> void;

}  // namespace birchlever
