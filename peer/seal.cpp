#include "peer/seal.hpp"

#include <array>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/sha.h>

namespace siskinpaddle {

namespace {

constexpr std::size_t mac_bytes = 32;
constexpr std::size_t header_bytes = 2;

std::string compute_mac(std::string_view key, std::string_view data) {
    std::string mac(mac_bytes, '\0');
    unsigned int length = mac_bytes;
    HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()),
         reinterpret_cast<const unsigned char*>(data.data()), data.size(),
         reinterpret_cast<unsigned char*>(mac.data()), &length);
    return mac;
}

} // namespace

std::string seal(std::string_view key, message_kind kind, std::string_view body) {
    std::string data;
    data.reserve(header_bytes + body.size() + mac_bytes);
    data += static_cast<char>(peer_protocol_version);
    data += static_cast<char>(kind);
    data += body;
    data += compute_mac(key, data);
    return data;
}

std::optional<std::string_view> unseal(std::string_view key, message_kind kind, std::string_view message) {
    if (message.size() < header_bytes + mac_bytes || message[0] != static_cast<char>(peer_protocol_version) ||
        message[1] != static_cast<char>(kind)) {
        return std::nullopt;
    }
    const std::string_view data = message.substr(0, message.size() - mac_bytes);
    if (!equal_secrets(compute_mac(key, data), message.substr(data.size()))) {
        return std::nullopt;
    }
    return data.substr(header_bytes);
}

std::string sha256_hex(std::string_view text) {
    std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
    SHA256(reinterpret_cast<const unsigned char*>(text.data()), text.size(), digest.data());
    static constexpr std::string_view digits = "0123456789abcdef";
    std::string hex;
    for (const unsigned char byte : digest) {
        hex += digits[byte >> 4U];
        hex += digits[byte & 15U];
    }
    return hex;
}

bool equal_secrets(std::string_view a, std::string_view b) {
    return a.size() == b.size() && CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

} // namespace siskinpaddle
