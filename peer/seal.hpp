#pragma once

#include "core/core.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace siskinpaddle {

/// Type of a sealed message; covered by the authentication code.
enum class message_kind : std::uint8_t { heartbeat = 1, value_request = 2, value_reply = 3 };

/// Version of the peer protocol. Messages of any other version are refused.
inline constexpr std::uint8_t peer_protocol_version = 1;

/// Prepends version and kind to `body` and appends a message authentication code (HMAC-SHA256) computed with
/// the shared key.
[[nodiscard]] std::string seal(std::string_view key, message_kind kind, std::string_view body);

/// Returns the body of a sealed message, or nothing when version, kind or authentication code are wrong. The
/// code is compared in constant time and before anything is decoded, so input from a sender without the key
/// never reaches a decoder. The result refers to the bytes of `message`.
[[nodiscard]] std::optional<std::string_view> unseal(std::string_view key, message_kind kind,
                                                     std::string_view message);

/// Returns the SHA-256 of `text` as lower-case hexadecimal digits.
[[nodiscard]] std::string sha256_hex(std::string_view text);

/// Compares two secrets in a time that doesn't depend on the position of the first difference.
[[nodiscard]] bool equal_secrets(std::string_view a, std::string_view b);

} // namespace siskinpaddle
