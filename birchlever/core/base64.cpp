#include "birchlever/core/base64.h"

#include <openssl/evp.h>

namespace birchlever {
namespace {

constexpr auto bytes_per_group = std::size_t{3};
constexpr auto characters_per_group = std::size_t{4};

auto unsigned_bytes(const char* bytes) -> const unsigned char* {
  return reinterpret_cast<const unsigned char*>(bytes);
}

}  // namespace

auto to_base64(std::string_view bytes) -> std::string {
  auto groups = (bytes.size() + bytes_per_group - 1) / bytes_per_group;
  auto text = std::string(groups * characters_per_group + 1, '\0');  // OpenSSL adds a terminating zero.
  auto length = EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()), unsigned_bytes(bytes.data()),
                                static_cast<int>(bytes.size()));
  text.resize(static_cast<std::size_t>(length));
  return text;
}

auto from_base64(std::string_view text) -> std::optional<std::string> {
  if (text.size() % characters_per_group != 0) {
    return std::nullopt;
  }
  auto bytes = std::string(text.size() / characters_per_group * bytes_per_group, '\0');
  auto length = EVP_DecodeBlock(reinterpret_cast<unsigned char*>(bytes.data()), unsigned_bytes(text.data()),
                                static_cast<int>(text.size()));
  if (length < 0) {
    return std::nullopt;
  }
  auto padding = text.size() - std::min(text.size(), text.find_last_not_of('=') + 1);
  bytes.resize(static_cast<std::size_t>(length) - padding);
  return bytes;
}

}  // namespace birchlever
