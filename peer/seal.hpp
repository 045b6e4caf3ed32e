#pragma once

#include "core/core.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace siskinpaddle {

/// What a sealed message carries; part of what the seal covers.
enum class message_kind : std::uint8_t { heartbeat = 1, value_request = 2, value_reply = 3 };

/// Version of the peer protocol. Peers with another version are refused, not guessed at.
inline constexpr std::uint8_t peer_protocol_version = 1;

/// Wraps `body` with version, kind and a message authentication code (HMAC-SHA256) by the shared key.
[[nodiscard]] std::string seal(std::string_view key, message_kind kind, std::string_view body);

/// The body of a sealed message of this kind, or nothing when version, kind or code are wrong. The code is
/// compared in constant time and before anything is decoded, so a sender without the key reaches no decoder.
[[nodiscard]] std::optional<std::string_view> unseal(std::string_view key, message_kind kind,
                                                     std::string_view message);

/// SHA-256 of `text` as lower-case hexadecimal digits.
[[nodiscard]] std::string sha256_hex(std::string_view text);

/// Compares two secrets in a time that doesn't depend on where they differ.
[[nodiscard]] bool equal_secrets(std::string_view a, std::string_view b);

} // namespace siskinpaddle
