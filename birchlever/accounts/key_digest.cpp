#include "birchlever/accounts/key_digest.h"

#include <openssl/evp.h>

#include <array>

namespace birchlever {
namespace {

constexpr auto abbreviated_length = std::size_t{8};  // 32 bits; among 4,800 keys, mistaken once in a million.

}  // namespace

auto sha256_hex(std::string_view text) -> std::string {
  auto digest = std::array<unsigned char, EVP_MAX_MD_SIZE>{};
  auto length = 0U;
  EVP_Digest(text.data(), text.size(), digest.data(), &length, EVP_sha256(), nullptr);
  constexpr auto* digits = "0123456789abcdef";
  auto hexadecimal = std::string{};
  for (auto index = 0U; index < length; ++index) {
    hexadecimal += digits[digest.at(index) >> 4U];
    hexadecimal += digits[digest.at(index) & 15U];
  }
  return hexadecimal;
}

auto abbreviated_digest(std::string_view digest) -> std::string {
  return std::string{digest.substr(0, abbreviated_length)};
}

}  // namespace birchlever
